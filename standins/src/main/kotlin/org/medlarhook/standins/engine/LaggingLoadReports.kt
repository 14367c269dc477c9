package org.medlarhook.standins.engine

/** Publishes load reports [lagMs] after they were sampled. Thread-safe. */
internal class LaggingLoadReports(
    private val lagMs: Long,
) {
    private val reports = ArrayDeque<LoadReport>()

    /** Adds [report] and drops reports that are no longer needed. */
    @Synchronized
    fun sample(report: LoadReport) {
        reports.addLast(report)
        while (reports.size > 1 && reports[1].atMs + lagMs <= report.atMs) reports.removeFirst()
    }

    /** Returns the newest report at least [lagMs] older than the last one, else the oldest; null before the first. */
    @Synchronized
    fun published(): LoadReport? = reports.firstOrNull()
}
