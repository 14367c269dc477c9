package org.medlarhook.loadtool.run

/** Formats the results of runs as a text table. */
internal object ResultTable {
    private const val HEADER =
        "run                  seed  requests goodput  good/s  worst  p50 ms  p99 ms  first p95  gap p95  refused" +
            "  retry-after right"

    /** A header and one row per result. */
    fun of(results: List<LoadResult>): String = (listOf(HEADER) + results.map { row(it) }).joinToString("\n")

    private fun row(result: LoadResult): String =
        "%-20s %4d %9d   %.3f %7.2f  %.3f %7.0f %7.0f %10.0f %8.1f %8d  %d of %d".format(
            result.label,
            result.seed,
            result.requests,
            result.goodput,
            result.goodPerS,
            result.worstShare,
            result.latency.p50Ms,
            result.latency.p99Ms,
            result.firstToken.p95Ms,
            result.tokenGap.p95Ms,
            result.refused,
            result.probesTaken,
            result.probes,
        )
}
