package org.medlarhook.core.routing

/**
 * What entries of other data centres know of one.
 *
 * @property queueMs predicted wait before new work starts there.
 * @property models what at least one upstream there has loaded.
 */
public data class DataCentreDigest(
    val dataCentre: String,
    val region: String,
    val queueMs: Double,
    val models: Set<ModelRef>,
    val updatedAtMs: Long,
)
