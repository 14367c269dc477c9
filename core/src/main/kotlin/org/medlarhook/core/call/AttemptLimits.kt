package org.medlarhook.core.call

/**
 * Limits on the attempts of one request.
 *
 * @property maxAttempts total number of attempts, including the first.
 * @property firstEventTimeoutMs time-out for the first event of an attempt.
 * @property silenceTimeoutMs time-out between two events of an attempt after its first one.
 * @property outcomeReserveMs time reserved before the deadline for asking the sidecar for the outcome of an attempt.
 * @property sealIntervalMs time between two seal requests for the same attempt.
 * @property maxSealFailures consecutive seal requests without an answer after which the outcome is reported as unknown.
 * @property retryAfterMs retry-after time of refusals that have none of their own.
 */
public data class AttemptLimits(
    val maxAttempts: Int = 3,
    val firstEventTimeoutMs: Long = 10_000,
    val silenceTimeoutMs: Long = 5_000,
    val outcomeReserveMs: Long = 500,
    val sealIntervalMs: Long = 100,
    val maxSealFailures: Int = 3,
    val retryAfterMs: Long = 1_000,
)
