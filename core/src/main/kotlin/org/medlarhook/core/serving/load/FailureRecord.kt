package org.medlarhook.core.serving.load

/**
 * Recent failures of an upstream. An upstream that fails repeatedly is avoided for a while.
 *
 * @property failureRate the share of failures, an exponential moving average.
 * @property avoidedUntilMs the time until which it gets no work while another upstream can serve the request.
 */
public data class FailureRecord(
    private val failureRate: Double = 0.0,
    private val consecutiveFailures: Int = 0,
    val avoidedUntilMs: Long = Long.MIN_VALUE,
) {
    /** Records an answer that is no failure. */
    public fun succeeded(): FailureRecord =
        copy(failureRate = failureRate * (1 - SMOOTHING_WEIGHT), consecutiveFailures = 0)

    /** Records a failure at [nowMs]. */
    public fun failed(nowMs: Long): FailureRecord {
        val newRate = failureRate + (1 - failureRate) * SMOOTHING_WEIGHT
        val newConsecutive = consecutiveFailures + 1
        val isFailing = newConsecutive >= CONSECUTIVE_FAILURES_TO_AVOID || newRate > MAX_FAILURE_RATE
        return FailureRecord(newRate, newConsecutive, if (isFailing) nowMs + AVOIDANCE_MS else avoidedUntilMs)
    }

    /** True if the upstream should get no work at [nowMs] while another upstream can serve the request. */
    public fun isAvoided(nowMs: Long): Boolean = nowMs < avoidedUntilMs

    private companion object {
        const val SMOOTHING_WEIGHT = 0.15

        /** Consecutive failures after which an upstream is avoided. */
        const val CONSECUTIVE_FAILURES_TO_AVOID = 2

        /** Higher than the failure rates of healthy services. */
        const val MAX_FAILURE_RATE = 0.4

        /** Short compared with an outage of seconds, long compared with a request. */
        const val AVOIDANCE_MS = 1_000L
    }
}
