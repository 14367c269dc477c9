package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * Settings of a sidecar.
 *
 * @property entries address of the gRPC server for entries. Only one process on the VM can bind its port, so the
 * upstream has only one sidecar.
 * @property engine the model engine that the sidecar serves, or null.
 * @property service the plain service that the sidecar serves, or null.
 * @property limits limits and intervals of the sidecar itself.
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

/**
 * The model engine of a sidecar.
 *
 * @property checksFencing whether the engine refuses orders with an outdated fencing number.
 */
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

/** The plain service of a sidecar. */
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
 * Limits and intervals of a sidecar.
 *
 * @property maxQueued largest number of attempts that wait for a slot.
 * @property heartbeatMs interval between status messages to watching entries.
 * @property probeIntervalMs interval between health probes of the engine or service.
 * @property drainLimitMs longest wait of a graceful stop for running attempts.
 * @property receiptLimitMs longest wait of a graceful stop for a collector to pull the last receipts.
 * @property maxReceipts largest number of receipts kept for collectors.
 * @property maxForgottenAttempts ended attempts of which only the id is kept, in a Bloom filter, until the sidecar
 * registers under a new incarnation.
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
