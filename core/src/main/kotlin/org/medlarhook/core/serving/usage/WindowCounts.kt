package org.medlarhook.core.serving.usage

/**
 * The counts of one window by process.
 *
 * Processes that published the windows before and did not say that they end are waited for: one that is cut off from
 * the store has no row of this window yet, and its requests would be missing from the sum.
 */
public class WindowCounts(
    public val byProcess: Map<String, ProcessCount>,
) {
    /** The processes whose count of the next window is waited for. */
    public val continuing: Set<String> get() = byProcess.filterValues { !it.isLast }.keys

    private val ended: Set<String> get() = byProcess.keys - continuing

    /** True if every process has closed the window, those of the windows [before] included. */
    public fun isWhole(before: List<WindowCounts>): Boolean {
        val ended = before.flatMap { it.ended }.toSet()
        val awaited = (before.flatMap { it.continuing } + byProcess.keys).toSet() - ended
        return awaited.all { byProcess[it]?.isClosed == true || isReplaced(it) }
    }

    /** True if a later start of the same VM's process counts here, so that [process] was killed. */
    private fun isReplaced(process: String): Boolean =
        byProcess.keys.any { it != process && nodeOf(it) == nodeOf(process) && startOf(it) > startOf(process) }

    private fun nodeOf(process: String): String = process.substringBefore(START_MARK)

    private fun startOf(process: String): Long = process.substringAfter(START_MARK, "").toLongOrNull() ?: 0

    /** The requests of each workspace, of all processes together. */
    public fun sum(): Map<String, Long> =
        byProcess.values
            .flatMap { it.counts.entries }
            .groupBy({ it.key }, { it.value })
            .mapValues { (_, counts) -> counts.sum() }
            .toSortedMap()

    private companion object {
        /** Stands between the VM's name and the time of the start in the name of a process. */
        const val START_MARK = '#'
    }
}
