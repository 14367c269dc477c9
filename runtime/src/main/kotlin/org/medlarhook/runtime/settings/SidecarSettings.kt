package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a sidecar.
 *
 * @property entries gRPC listener towards entries; holding its port makes the process the upstream's only sidecar.
 * @property engine the model engine beside it, or null.
 * @property service the plain service beside it, or null.
 */
@Serializable
public data class SidecarSettings(
    val upstreamId: String,
    val vmId: String,
    val dataCentre: String,
    val region: String,
    val entries: ListenAddress,
    val operators: ListenAddress,
    val platform: PlatformSettings,
    val engine: EngineSettings? = null,
    val service: ServiceSettings? = null,
)

/** The model engine beside a sidecar. [checksFencing] says whether it refuses orders with an old fencing number. */
@Serializable
public data class EngineSettings(
    val url: String,
    val models: List<String>,
    val slots: Int = 16,
    val prefillTokensPerS: Double = 8_000.0,
    val decodeTokensPerS: Double = 40.0,
    val checksFencing: Boolean = false,
    val firstByteTimeoutMs: Long = 30_000,
)

/** The plain service beside a sidecar. */
@Serializable
public data class ServiceSettings(
    val url: String,
    val names: List<String>,
    val callTimeoutMs: Long = 10_000,
)
