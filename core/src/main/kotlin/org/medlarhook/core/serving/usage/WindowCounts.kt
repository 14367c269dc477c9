package org.medlarhook.core.serving.usage

import org.medlarhook.core.serving.fleet.Endpoint

/**
 * The counts of one window, by process.
 *
 * The window is whole only with the counts of all processes that published earlier windows without marking one as
 * their last: a process that is cut off from the store has no row of this window yet, and its requests would be
 * missing from the sum.
 */
public class WindowCounts(
    public val byProcess: Map<String, ProcessCount>,
) {
    /** The processes that are expected to publish a count of the next window. */
    public val continuing: Set<String> get() = byProcess.filterValues { !it.isLast }.keys

    /** The addresses of these processes, as far as they have published one that can be read. */
    public val peers: List<Endpoint> get() =
        byProcess.filterValues { !it.isLast }.values.mapNotNull { count -> count.peer?.let { Endpoint.parseIp(it) } }

    private val ended: Set<String> get() = byProcess.keys - continuing

    /** True if every process has closed the window, including the processes of the [earlier] windows. */
    public fun isWhole(earlier: List<WindowCounts>): Boolean {
        val endedEarlier = earlier.flatMap { it.ended }.toSet()
        val expected = (earlier.flatMap { it.continuing } + byProcess.keys).toSet() - endedEarlier
        return expected.all { byProcess[it]?.isClosed == true || isReplaced(it) }
    }

    /** True if a later process of the same VM has a count here, which shows that [process] was killed. */
    private fun isReplaced(process: String): Boolean =
        byProcess.keys.any { it != process && vmOf(it) == vmOf(process) && startedAtMsOf(it) > startedAtMsOf(process) }

    private fun vmOf(process: String): String = process.substringBefore(START_SEPARATOR)

    private fun startedAtMsOf(process: String): Long = process.substringAfter(START_SEPARATOR, "").toLongOrNull() ?: 0

    /** The requests of each workspace, over all processes. */
    public fun sum(): Map<String, Long> =
        byProcess.values
            .flatMap { it.counts.entries }
            .groupBy({ it.key }, { it.value })
            .mapValues { (_, counts) -> counts.sum() }
            .toSortedMap()

    private companion object {
        /** Separates the VM's name from the start time in the name of a process. */
        const val START_SEPARATOR = '#'
    }
}
