package org.medlarhook.harness.bench

import java.util.Locale

/** Median and 99th percentile of durations, in microseconds. */
internal data class Percentiles(
    val medianUs: Long,
    val p99Us: Long,
) {
    /** Returns the differences of the medians and of the 99th percentiles. */
    fun minus(other: Percentiles) = Percentiles(medianUs - other.medianUs, p99Us - other.p99Us)

    override fun toString(): String = "median ${ms(medianUs)} ms, p99 ${ms(p99Us)} ms"

    private fun ms(valueUs: Long) = String.format(Locale.ROOT, "%.3f", valueUs / US_PER_MS)

    companion object {
        private const val NANOS_PER_US = 1_000
        private const val US_PER_MS = 1_000.0
        private const val MEDIAN = 0.5
        private const val P99 = 0.99

        /** Computes the percentiles of [durationsNanos]. */
        fun of(durationsNanos: LongArray): Percentiles {
            val sorted = durationsNanos.sorted()

            fun at(share: Double) = sorted[((sorted.size - 1) * share).toInt()] / NANOS_PER_US
            return Percentiles(at(MEDIAN), at(P99))
        }
    }
}
