package org.medlarhook.core.routing

/**
 * A load summary of one data centre, as entries in other data centres receive it.
 *
 * @property queueMs predicted wait before new work starts in the data centre.
 * @property models the models and services that at least one upstream of the data centre has loaded.
 */
public data class DataCentreSummary(
    val dataCentre: String,
    val region: String,
    val queueMs: Double,
    val models: Set<ModelRef>,
    val updatedAtMs: Long,
)
