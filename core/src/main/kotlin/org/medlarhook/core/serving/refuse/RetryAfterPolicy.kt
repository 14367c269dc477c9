package org.medlarhook.core.serving.refuse

import kotlin.random.Random

/**
 * Tells a caller that is turned away when to come back.
 *
 * Answers the load pattern of bursts that last for seconds: the work that is queued drains within the objective, but
 * newcomers refill it, so that a caller told to come back at once is turned away again. Callers wait up to a third of
 * the time they have; they are spread over its later part, and come in the order in which they were turned away but
 * for that spread.
 */
public class RetryAfterPolicy(
    private val random: Random,
) {
    /** The wait of a caller that has [remainingMs], where the work ahead of it drains in [drainMs]. */
    public fun retryAfterMs(remainingMs: Long, drainMs: Double): Long {
        val longestMs = (remainingMs * LONGEST_SHARE).coerceAtLeast(MIN_MS)
        val earliestMs = maxOf(drainMs, longestMs * EARLIEST_SHARE).coerceAtMost(longestMs)
        return (earliestMs + (longestMs - earliestMs) * random.nextDouble()).toLong()
    }

    private companion object {
        /** Callers honour up to a third of the time that they have left. */
        const val LONGEST_SHARE = 0.32

        /** Spreads returns over the later part of that time. */
        const val EARLIEST_SHARE = 0.55

        const val MIN_MS = 20.0
    }
}
