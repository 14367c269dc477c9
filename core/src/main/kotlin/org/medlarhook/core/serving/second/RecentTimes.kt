package org.medlarhook.core.serving.second

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/** The most recent times to the answer, or to the first event, of requests that are alike, in milliseconds. */
public data class RecentTimes(
    private val samples: PersistentList<Double> = persistentListOf(),
) {
    private val sorted: List<Double> by lazy { samples.sorted() }

    /** True once there are enough samples to tell a slow answer from a usual one. */
    public val isKnown: Boolean get() = samples.size >= MIN_SAMPLES

    /** Adds [ms]; the oldest sample is dropped. */
    public fun with(ms: Double): RecentTimes {
        val kept = if (samples.size < MAX_SAMPLES) samples else samples.removeAt(0)
        return RecentTimes(kept.add(ms))
    }

    /** The time that the [share] of the samples did not exceed; there must be one. */
    public fun quantileMs(share: Double): Double = sorted[((sorted.size - 1) * share).toInt()]

    /**
     * The time that an answer is expected to take longer, [elapsedMs] after it was asked for: the median of the samples
     * that were longer. If none was, the answer is expected to take as long again.
     */
    public fun remainingMs(elapsedMs: Double): Double {
        val longer = sorted.dropWhile { it <= elapsedMs }
        return if (longer.isEmpty()) elapsedMs else longer[longer.size / 2] - elapsedMs
    }

    private companion object {
        /** With fewer samples, the highest of them is no estimate of the slowest twentieth. */
        const val MIN_SAMPLES = 20

        /** Some seconds of a busy process, so that the times follow a change of the upstreams. */
        const val MAX_SAMPLES = 64
    }
}
