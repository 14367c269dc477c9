package org.medlarhook.core.membership

import kotlinx.serialization.Serializable

/**
 * The row of a sidecar in the upstream table, written at its start.
 *
 * @property incarnation number of starts of this upstream's sidecar; grows by one with each start.
 * @property address host and port of the gRPC listener of the sidecar.
 * @property models the models that the engine was started with; empty for a plain service.
 */
@Serializable
public data class UpstreamRegistration(
    val upstreamId: String,
    val vmId: String,
    val dataCentre: String,
    val region: String,
    val incarnation: Long,
    val address: String,
    val models: List<String> = emptyList(),
    val services: List<String> = emptyList(),
    val nonce: String = "",
)
