package org.medlarhook.loadtool.run

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Quantiles of a time in milliseconds. */
@Serializable
internal data class Quantiles(
    val p50Ms: Double,
    val p95Ms: Double,
    val p99Ms: Double,
    val maxMs: Double,
) {
    companion object {
        private const val MAX_TRACKED_MICROS = 600_000_000L
        private const val DIGITS = 3
        private const val MICROS_PER_MS = 1_000.0
        private const val P50 = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        fun of(timesMs: List<Double>): Quantiles {
            val histogram = Histogram(MAX_TRACKED_MICROS, DIGITS)
            timesMs.forEach { histogram.recordValue((it * MICROS_PER_MS).toLong().coerceIn(0, MAX_TRACKED_MICROS)) }

            fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
            return Quantiles(at(P50), at(P95), at(P99), histogram.maxValue / MICROS_PER_MS)
        }
    }
}

/** How one workspace fared. */
@Serializable
internal data class WorkspaceResult(
    val name: String,
    val requests: Int,
    val goodput: Double,
)

/** The number of answers with one HTTP status; 0 stands for a broken connection. */
@Serializable
internal data class StatusCount(
    val status: Int,
    val count: Int,
)

/** Offered and good requests of an interval of the run. */
@Serializable
internal data class IntervalResult(
    val fromS: Int,
    val offered: Int,
    val good: Int,
)

/** What a run gave; [worstShare] is the goodput of the worst-served workspace over the mean of the workspaces. */
@Serializable
internal data class LoadResult(
    val label: String,
    val scenario: String,
    val seed: Long,
    val requests: Int,
    val goodput: Double,
    val goodPerS: Double,
    val worstShare: Double,
    val workspaces: List<WorkspaceResult>,
    val latency: Quantiles,
    val firstToken: Quantiles,
    val tokenGap: Quantiles,
    val statuses: List<StatusCount>,
    val refused: Int,
    val refusedWithRetryAfter: Int,
    val refusedNotRun: Int,
    val probes: Int,
    val probesTaken: Int,
    val intervals: List<IntervalResult>,
) {
    companion object {
        private const val INTERVAL_S = 5
        private const val MS_PER_S = 1_000.0

        /** Works out the figures of the answers after the warm-up. */
        fun of(label: String, scenario: LoadScenario, seed: Long, durationS: Double, records: LoopRecords): LoadResult {
            val counted = records.answers.filter { it.atMs >= scenario.warmUpS * MS_PER_S }
            val byWorkspace = counted.groupBy { it.workspace }.toSortedMap().map { (name, own) -> workspace(name, own) }
            val answered = counted.filter { it.whole }
            return LoadResult(
                label = label,
                scenario = scenario.name,
                seed = seed,
                requests = counted.size,
                goodput = goodShare(counted),
                goodPerS = counted.count { it.good } / (durationS - scenario.warmUpS),
                worstShare = worstShare(byWorkspace),
                workspaces = byWorkspace,
                latency = Quantiles.of(answered.map { it.endMs }),
                firstToken = Quantiles.of(answered.filter { it.streamed }.mapNotNull { it.firstByteMs }),
                tokenGap = Quantiles.of(answered.filter { it.streamed }.flatMap { it.gapsMs }),
                statuses = counted.groupingBy {
                    it.status
                }.eachCount().toSortedMap().map { StatusCount(it.key, it.value) },
                refused = counted.count { it.refused },
                refusedWithRetryAfter = counted.count { it.refused && it.retryAfterMs != null },
                refusedNotRun = counted.count { it.refused && it.notRun },
                probes = records.probes.size,
                probesTaken = records.probes.count { !it.refused },
                intervals = intervals(records.answers),
            )
        }

        private fun goodShare(records: List<RequestRecord>): Double =
            records.count { it.good }.toDouble() / records.size.coerceAtLeast(1)

        private fun workspace(name: String, own: List<RequestRecord>) = WorkspaceResult(name, own.size, goodShare(own))

        private fun worstShare(workspaces: List<WorkspaceResult>): Double {
            val mean = workspaces.map { it.goodput }.average()
            return if (mean > 0) workspaces.minOf { it.goodput } / mean else 0.0
        }

        private fun intervals(records: List<RequestRecord>): List<IntervalResult> =
            records
                .groupBy { (it.atMs / MS_PER_S).toInt() / INTERVAL_S * INTERVAL_S }
                .toSortedMap()
                .map { (fromS, own) -> IntervalResult(fromS, own.size, own.count { it.good }) }
    }
}
