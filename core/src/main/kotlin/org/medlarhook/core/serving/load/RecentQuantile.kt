package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * A quantile of the most recent samples of a value.
 *
 * @property value the quantile, or null before the first sample.
 */
public class RecentQuantile private constructor(
    private val quantile: Double,
    private val samples: PersistentList<Double>,
) {
    /** A quantile between 0 (the least sample) and 1 (the greatest one), without samples so far. */
    public constructor(quantile: Double) : this(quantile, persistentListOf())

    public val value: Double? =
        if (samples.isEmpty()) null else samples.sorted()[((samples.size - 1) * quantile).toInt()]

    /** Adds [sample]; the oldest one is dropped. */
    public fun with(sample: Double): RecentQuantile {
        val kept = if (samples.size < MAX_SAMPLES) samples else samples.removeAt(0)
        return RecentQuantile(quantile, kept.add(sample))
    }

    private companion object {
        /** A few seconds of a busy process, so that the quantile follows a change of the engines. */
        const val MAX_SAMPLES = 48
    }
}
