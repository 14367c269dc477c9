package org.medlarhook.core.lease

/**
 * Durations and intervals of a lease. Each process measures them on its own monotonic clock.
 *
 * @property durationMs validity of a lease, counted from before a renewal is sent; the holder stops [marginMs] earlier.
 * @property marginMs allowance for the difference in rate of two clocks over [takeOverAfterMs].
 * @property longestOutboundCallMs timeout of the slowest outbound call of a holder.
 * @property renewEveryMs time between two renewals, before jitter.
 * @property watchEveryMs time between two reads by a process that waits for the lease, before jitter.
 * @property retryMs time until a failed call is retried, before jitter.
 * @property jitterPercent maximum deviation of the last three times by jitter.
 */
public data class LeaseSettings(
    val durationMs: Long = 10_000,
    val marginMs: Long = 1_000,
    val longestOutboundCallMs: Long = 3_000,
    val renewEveryMs: Long = 3_000,
    val watchEveryMs: Long = 3_000,
    val retryMs: Long = 500,
    val jitterPercent: Int = 20,
) {
    init {
        require(marginMs < durationMs) { "marginMs is $marginMs ms; it must be below durationMs, $durationMs ms" }
        require(renewEveryMs < durationMs - marginMs) {
            "renewEveryMs is $renewEveryMs ms; it must be below durationMs - marginMs, ${durationMs - marginMs} ms"
        }
        require(jitterPercent in 0..MAX_JITTER_PERCENT) {
            "jitterPercent is $jitterPercent; it must be from 0 to $MAX_JITTER_PERCENT"
        }
    }

    /** Time for which a successor must have seen the lease row unchanged before it takes over. */
    public val takeOverAfterMs: Long get() = durationMs + longestOutboundCallMs + marginMs

    private companion object {
        const val MAX_JITTER_PERCENT = 50
    }
}
