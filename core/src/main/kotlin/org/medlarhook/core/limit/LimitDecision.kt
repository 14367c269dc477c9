package org.medlarhook.core.limit

/** Whether a request is within the limits of its workspace. */
public sealed interface LimitDecision {
    /** The request may start; [limiter] is the state that counts it. */
    public data class Passed(
        val limiter: WorkspaceLimiter,
    ) : LimitDecision

    /** The request is over a limit; a request may start after [retryAfterMs]. */
    public data class Limited(
        val retryAfterMs: Long,
    ) : LimitDecision
}
