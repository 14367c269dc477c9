package org.medlarhook.standins.engine

/** Publishes load reports with a lag. Thread-safe. */
internal class LaggingLoad(
    private val lagMs: Long,
) {
    private val reports = ArrayDeque<LoadReport>()

    /** Takes a sample. */
    @Synchronized
    fun sample(report: LoadReport) {
        reports.addLast(report)
        while (reports.size > 1 && reports[1].atMs + lagMs <= report.atMs) reports.removeFirst()
    }

    /** The newest report that is old enough, or the oldest there is. */
    @Synchronized
    fun published(): LoadReport? = reports.firstOrNull()
}
