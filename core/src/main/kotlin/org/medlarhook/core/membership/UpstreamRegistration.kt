package org.medlarhook.core.membership

import kotlinx.serialization.Serializable

/**
 * A sidecar's row in the upstream table, written at its start.
 *
 * @property incarnation grows by one with each start of the sidecar of this upstream.
 * @property address host and port of the sidecar's gRPC listener.
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
