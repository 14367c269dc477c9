package org.medlarhook.core.serving.shutdown

/**
 * The time that a graceful shutdown takes, on the monotonic clock.
 *
 * @property startedAtMs when the shutdown began.
 * @property endsAtMs when requests that still run are cut off.
 */
public data class ShutdownWindow(
    val startedAtMs: Long,
    val endsAtMs: Long,
)
