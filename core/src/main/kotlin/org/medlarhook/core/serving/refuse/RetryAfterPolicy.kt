package org.medlarhook.core.serving.refuse

import kotlin.random.Random

/**
 * Chooses when a refused caller should retry.
 *
 * Designed for bursts that last for seconds: queued work drains within the objective, but new requests refill the
 * queues, so that a caller that retries at once is refused again. Callers wait for up to a third of their remaining
 * time. Their retries are spread over the later part of that wait; apart from this spread they come in the order of
 * the refusals.
 */
public class RetryAfterPolicy(
    private val random: Random,
) {
    /** The wait of a caller with [remainingMs] until its deadline, if the work queued ahead drains in [drainMs]. */
    public fun retryAfterMs(remainingMs: Long, drainMs: Double): Long {
        val longestMs = (remainingMs * LONGEST_WAIT_SHARE).coerceAtLeast(MIN_LONGEST_WAIT_MS)
        val earliestMs = maxOf(drainMs, longestMs * EARLIEST_RETRY_SHARE).coerceAtMost(longestMs)
        return (earliestMs + (longestMs - earliestMs) * random.nextDouble()).toLong()
    }

    private companion object {
        /** Share of the remaining time; callers honour a wait of up to a third of it. */
        const val LONGEST_WAIT_SHARE = 0.32

        /** Share of the longest wait; retries are spread over the part after it. */
        const val EARLIEST_RETRY_SHARE = 0.55

        const val MIN_LONGEST_WAIT_MS = 20.0
    }
}
