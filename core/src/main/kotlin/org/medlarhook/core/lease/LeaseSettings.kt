package org.medlarhook.core.lease

/**
 * The times of a lease. All of them count on the monotonic clock of the process that waits.
 *
 * @property durationMs how long a renewal lasts, counted from before it was sent.
 * @property marginMs covers the difference in rate of two clocks over [takeOverAfterMs].
 * @property longestOutboundCallMs the timeout of the slowest call that a holder makes outward.
 * @property renewEveryMs time between two renewals before jitter.
 * @property watchEveryMs time between two reads of a process that waits for the lease, before jitter.
 * @property retryMs time before a failed call is repeated, before jitter.
 * @property jitterPercent the share by which the times above are spread.
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
        require(marginMs < durationMs) { "the margin must be shorter than the lease" }
        require(renewEveryMs < durationMs - marginMs) { "a renewal must come before the lease ends" }
        require(jitterPercent in 0..MAX_JITTER_PERCENT) { "jitterPercent is out of range" }
    }

    /** How long a successor must have seen the row unchanged before it takes over. */
    public val takeOverAfterMs: Long get() = durationMs + longestOutboundCallMs + marginMs

    private companion object {
        const val MAX_JITTER_PERCENT = 50
    }
}
