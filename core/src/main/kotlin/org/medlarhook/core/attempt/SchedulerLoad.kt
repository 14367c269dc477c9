package org.medlarhook.core.attempt

/** Load of one upstream, in attempts and tokens. */
public data class SchedulerLoad(
    val running: Int,
    val queued: Int,
    val queuedPrefillTokens: Long,
    val queuedDecodeTokens: Long,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val slots: Int,
)
