package org.medlarhook.core.call

/**
 * Limits on the attempts of one request.
 *
 * @property maxAttempts attempts in all, the first included.
 * @property firstEventTimeoutMs how long an attempt may stay without a first event.
 * @property silenceTimeoutMs how long an attempt may stay silent after its first event.
 * @property settleReserveMs time before the deadline that is kept for asking after the outcome of an attempt.
 * @property sealIntervalMs time between two questions after the outcome of an attempt.
 * @property maxSealFailures unanswered questions in a row after which the outcome counts as unknown.
 * @property retryAfterMs the advice that goes with refusals without one of their own.
 */
public data class AttemptLimits(
    val maxAttempts: Int = 3,
    val firstEventTimeoutMs: Long = 10_000,
    val silenceTimeoutMs: Long = 5_000,
    val settleReserveMs: Long = 500,
    val sealIntervalMs: Long = 100,
    val maxSealFailures: Int = 3,
    val retryAfterMs: Long = 1_000,
)
