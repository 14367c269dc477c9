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
        private const val SIGNIFICANT_DIGITS = 3
        private const val MICROS_PER_MS = 1_000.0
        private const val P50 = 50.0
        private const val P95 = 95.0
        private const val P99 = 99.0

        fun of(timesMs: List<Double>): Quantiles {
            val histogram = Histogram(MAX_TRACKED_MICROS, SIGNIFICANT_DIGITS)
            timesMs.forEach { histogram.recordValue((it * MICROS_PER_MS).toLong().coerceIn(0, MAX_TRACKED_MICROS)) }

            fun at(percentile: Double) = histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
            return Quantiles(at(P50), at(P95), at(P99), histogram.maxValue / MICROS_PER_MS)
        }
    }
}

/** The measured requests of one workspace. */
@Serializable
internal data class WorkspaceResult(
    val name: String,
    val requests: Int,
    val goodput: Double,
)

/** The number of answers with one HTTP status; status 0 counts failed connections. */
@Serializable
internal data class StatusCount(
    val status: Int,
    val count: Int,
)

/** Sent and good requests of an interval of the run; see [RequestRecord.good]. */
@Serializable
internal data class IntervalResult(
    val fromS: Int,
    val offered: Int,
    val good: Int,
)

/**
 * The results of a run.
 *
 * @property requests requests sent after the warm-up; the other figures cover these, except [intervals] and [probes].
 * @property goodput share of good requests; see [RequestRecord.good].
 * @property worstShare lowest goodput of a workspace, divided by the mean over the workspaces.
 * @property latency times to the complete answer.
 * @property firstToken times to first token of complete streamed answers.
 * @property tokenGap gaps between the tokens of complete streamed answers.
 * @property refusedNotRun refused requests whose answer says that the request was not run.
 * @property probes refused requests that were sent again after their `Retry-After`.
 * @property probesTaken probes that were not refused again.
 */
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

        /** Computes the results of a run of [durationS]. */
        fun of(label: String, scenario: LoadScenario, seed: Long, durationS: Double, records: RunRecords): LoadResult {
            val measured = records.answers.filter { it.atMs >= scenario.warmUpS * MS_PER_S }
            val byWorkspace =
                measured.groupBy { it.workspace }.toSortedMap().map { (name, group) -> workspaceResult(name, group) }
            val completed = measured.filter { it.complete }
            return LoadResult(
                label = label,
                scenario = scenario.name,
                seed = seed,
                requests = measured.size,
                goodput = goodShare(measured),
                goodPerS = measured.count { it.good } / (durationS - scenario.warmUpS),
                worstShare = worstShare(byWorkspace),
                workspaces = byWorkspace,
                latency = Quantiles.of(completed.map { it.endMs }),
                firstToken = Quantiles.of(completed.filter { it.streamed }.mapNotNull { it.firstByteMs }),
                tokenGap = Quantiles.of(completed.filter { it.streamed }.flatMap { it.tokenGapsMs }),
                statuses = measured.groupingBy {
                    it.status
                }.eachCount().toSortedMap().map { StatusCount(it.key, it.value) },
                refused = measured.count { it.refused },
                refusedWithRetryAfter = measured.count { it.refused && it.retryAfterMs != null },
                refusedNotRun = measured.count { it.refused && it.notRun },
                probes = records.probes.size,
                probesTaken = records.probes.count { !it.refused },
                intervals = intervals(records.answers),
            )
        }

        private fun goodShare(records: List<RequestRecord>): Double =
            records.count { it.good }.toDouble() / records.size.coerceAtLeast(1)

        private fun workspaceResult(name: String, group: List<RequestRecord>) =
            WorkspaceResult(name, group.size, goodShare(group))

        private fun worstShare(workspaces: List<WorkspaceResult>): Double {
            val mean = workspaces.map { it.goodput }.average()
            return if (mean > 0) workspaces.minOf { it.goodput } / mean else 0.0
        }

        private fun intervals(records: List<RequestRecord>): List<IntervalResult> =
            records
                .groupBy { (it.atMs / MS_PER_S).toInt() / INTERVAL_S * INTERVAL_S }
                .toSortedMap()
                .map { (fromS, group) -> IntervalResult(fromS, group.size, group.count { it.good }) }
    }
}
