package org.medlarhook.core.serving.load

import kotlin.math.exp

/**
 * How the work times that the upstreams of a service report vary, by which an old reading is discounted.
 *
 * Designed for upstreams that share their machines with others and slow down for some hundred milliseconds at a time:
 * such a reading is right for as long as the machine stays as it is, and tells nothing afterwards. The expected factor
 * therefore decays from the reading to the mean of that upstream. The time constant of that decay is learned from
 * successive readings of the same upstream, as the time in which their difference grows to the spread of its readings.
 *
 * @property mean the mean factor of all upstreams.
 * @property variance the variance of an upstream's readings around its own mean.
 */
public data class WorkTimeModel(
    private val mean: Double = 1.0,
    private val variance: Double = 0.0,
    private val readings: Int = 0,
    private val comparedMs: Double = 0.0,
    private val changes: Double = 0.0,
) {
    /** True once an upstream has told how long work takes there. */
    public val isTold: Boolean get() = readings > 0

    /** The time after which a reading has lost most of its worth, in milliseconds. */
    val decayMs: Double
        get() = (INITIAL_DECAY_MS * INITIAL_CHANGES + comparedMs) / (INITIAL_CHANGES + changes)

    /** The work time expected at [nowMs], divided by the mean of all upstreams; 1 without a [reading]. */
    public fun relativeAt(reading: WorkTimeReading?, nowMs: Long): Double {
        if (reading == null) return 1.0
        val ageMs = (nowMs - reading.atMs).coerceAtLeast(0)
        return (reading.mean + (reading.factor - reading.mean) * exp(-ageMs / decayMs)) / mean
    }

    /** The reading of [factor] at [atMs] after [previous], the one of the same upstream before it. */
    public fun reading(previous: WorkTimeReading?, factor: Double, atMs: Long): WorkTimeReading {
        val bounded = factor.coerceIn(MIN_FACTOR, MAX_FACTOR)
        val count = minOf((previous?.readings ?: 0) + 1, MAX_READINGS_IN_MEAN)
        val meanBefore = previous?.mean ?: mean
        return WorkTimeReading(bounded, atMs, meanBefore + (bounded - meanBefore) / (count + 1), count)
    }

    /** Records [reading]; [previous] is the one of the same upstream before it. */
    public fun observed(previous: WorkTimeReading?, reading: WorkTimeReading): WorkTimeModel {
        val weight = 1.0 / (minOf(readings, MAX_READINGS_IN_MEAN) + 1)
        val deviation = reading.factor - reading.mean
        val updated =
            copy(
                mean = mean + (reading.factor - mean) * weight,
                variance = variance + (deviation * deviation - variance) * weight,
                readings = minOf(readings + 1, MAX_READINGS_IN_MEAN),
            )
        return if (previous == null) updated else updated.compared(previous, reading)
    }

    private fun compared(previous: WorkTimeReading, reading: WorkTimeReading): WorkTimeModel {
        val gapMs = reading.atMs - previous.atMs
        if (variance <= 0 || gapMs !in 1..MAX_COMPARED_GAP_MS) return this
        val change = reading.factor - previous.factor
        return copy(
            comparedMs = comparedMs * KEPT_SHARE + gapMs,
            changes = changes * KEPT_SHARE + (change * change / 2 / variance).coerceAtMost(MAX_CHANGE),
        )
    }

    private companion object {
        /** Readings in the means, which change slowly compared with the factor itself. */
        const val MAX_READINGS_IN_MEAN = 100

        /** Share of the compared readings that is kept when one is added. */
        const val KEPT_SHARE = 0.99

        /** Taken for the time constant until readings were compared: the figure changes several times a second. */
        const val INITIAL_DECAY_MS = 200.0
        const val INITIAL_CHANGES = 2.0

        /** Between readings that are further apart, an upstream may have changed and changed back. */
        const val MAX_COMPARED_GAP_MS = 250L

        /** A rare factor differs from the mean by more than the spread; its change counts as several. */
        const val MAX_CHANGE = 10.0
        const val MIN_FACTOR = 0.1
        const val MAX_FACTOR = 20.0
    }
}
