package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a sidecar.
 *
 * @property entries gRPC listener towards entries; holding its port makes the process the upstream's only sidecar.
 * @property engine the model engine beside it, or null.
 * @property service the plain service beside it, or null.
 * @property limits bounds and intervals of the sidecar itself.
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
    val limits: SidecarLimits = SidecarLimits(),
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
    val betweenTokenTimeoutMs: Long = 5_000,
    val connectTimeoutMs: Long = 500,
)

/** The plain service beside a sidecar. */
@Serializable
public data class ServiceSettings(
    val url: String,
    val names: List<String>,
    val callTimeoutMs: Long = 10_000,
    val connectTimeoutMs: Long = 500,
    val concurrentCalls: Int = 32,
    val expectedCallMs: Long = 50,
    val maxAnswerBytes: Long = 3_145_728,
)

/**
 * Bounds and intervals of a sidecar.
 *
 * @property maxQueued attempts that wait for a slot.
 * @property heartbeatMs interval of the status to watching entries.
 * @property probeIntervalMs interval of the health probe of the engine or service.
 * @property drainLimitMs how long a graceful stop waits for running attempts.
 * @property receiptLimitMs how long a graceful stop waits for a collector to take the last receipts.
 * @property maxReceipts receipts kept for collectors.
 * @property maxForgottenAttempts ended attempts remembered by their id alone, until a new incarnation is taken.
 */
@Serializable
public data class SidecarLimits(
    val maxQueued: Int = 256,
    val heartbeatMs: Long = 2_000,
    val probeIntervalMs: Long = 1_000,
    val probeTimeoutMs: Long = 1_000,
    val drainLimitMs: Long = 600_000,
    val receiptLimitMs: Long = 5_000,
    val maxReceipts: Int = 4_096,
    val maxForgottenAttempts: Int = 500_000,
)
