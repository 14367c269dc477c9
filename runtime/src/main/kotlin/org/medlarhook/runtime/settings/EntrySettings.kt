package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * Settings of an entry.
 *
 * @property vmId the platform's id of the VM.
 * @property callers address of the HTTP server for callers.
 * @property operators address of the HTTP server for operators.
 * @property peers address of the gRPC server for other entries.
 * @property calls attempts, timeouts and buffers of requests.
 * @property claims recording of idempotency keys.
 * @property shutdown the graceful shutdown.
 * @property routing the choice of upstreams.
 */
@Serializable
public data class EntrySettings(
    val entryId: String,
    val vmId: String,
    val dataCentre: String,
    val region: String,
    val callers: ListenAddress,
    val operators: ListenAddress,
    val peers: ListenAddress,
    val platform: PlatformSettings,
    val limits: CallerLimits = CallerLimits(),
    val calls: CallSettings = CallSettings(),
    val claims: ClaimSettings = ClaimSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
    val directory: DirectorySettings = DirectorySettings(),
    val routing: RoutingSettings = RoutingSettings(),
)

/** Host and port to listen on. */
@Serializable
public data class ListenAddress(
    val host: String = "127.0.0.1",
    val port: Int,
)

/** URL of the platform's services, and the timeout of one call. */
@Serializable
public data class PlatformSettings(
    val url: String,
    val callTimeoutMs: Long = 2_000,
)

/** Limits on requests of callers. */
@Serializable
public data class CallerLimits(
    val maxBodyBytes: Long = 4_194_304,
    val maxHeaderBytes: Int = 16_384,
    val maxDeadlineMs: Long = 600_000,
)
