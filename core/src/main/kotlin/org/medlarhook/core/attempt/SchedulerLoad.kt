package org.medlarhook.core.attempt

/** Load of one upstream: attempts, queued tokens, and the estimated speed in tokens per second. */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val queuedPrefillTokens: Long,
    val queuedDecodeTokens: Long,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val slots: Int,
)
