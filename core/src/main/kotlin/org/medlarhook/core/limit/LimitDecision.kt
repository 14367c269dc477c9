package org.medlarhook.core.limit

/** Whether a request is within its workspace's limits. */
public sealed interface LimitDecision {
    /** It may pass; [limiter] is the state after it. */
    public data class Passed(
        val limiter: WorkspaceLimiter,
    ) : LimitDecision

    /** It may not; something may pass after [retryAfterMs]. */
    public data class Limited(
        val retryAfterMs: Long,
    ) : LimitDecision
}
