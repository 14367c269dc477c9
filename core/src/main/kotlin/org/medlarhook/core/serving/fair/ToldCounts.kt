package org.medlarhook.core.serving.fair

import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.toImmutableMap
import org.medlarhook.core.serving.usage.WindowCounts

/**
 * The requests that the other processes began in one usage window, as they have published them.
 *
 * Answers the load of a workspace whose requests reach the processes unevenly: a process compares workspaces by the
 * work of all processes, not by the part that happens to arrive at itself.
 *
 * @property others requests by workspace that the other processes began.
 * @property own the same of this process.
 * @property otherProcesses the other processes that have published counts of the window.
 * @property endedAtMs when the window had ended at the latest, on the monotonic clock.
 */
public data class ToldCounts(
    val others: ImmutableMap<String, Long>,
    val own: ImmutableMap<String, Long>,
    val otherProcesses: Int,
    val windowMs: Long,
    val endedAtMs: Long,
) {
    /** The age of the counts. */
    public fun ageMs(nowMs: Long): Long = nowMs - endedAtMs

    /** The share of the counts that is used: 1 until the next window should have been told, 0 after two more. */
    internal fun trust(nowMs: Long): Double =
        (1 - (ageMs(nowMs) - FRESH_WINDOWS * windowMs).toDouble() / (FADING_WINDOWS * windowMs)).coerceIn(0.0, 1.0)

    /**
     * The work of [workspace] at the other processes per work at this one. With few requests here it tends to the
     * number of the other processes, as if its requests were spread evenly.
     */
    internal fun othersPerOwn(workspace: String): Double =
        ((others[workspace] ?: 0) + EVEN_REQUESTS * otherProcesses) / ((own[workspace] ?: 0) + EVEN_REQUESTS)

    /** The requests of [workspace] that the other processes began in the time for which an account stands. */
    internal fun othersRequests(workspace: String): Double =
        (others[workspace] ?: 0) * DecayingAmount.TIME_CONSTANT_MS / windowMs

    public companion object {
        /** Requests of each process that are assumed beside those counted. */
        private const val EVEN_REQUESTS = 2.0
        private const val FRESH_WINDOWS = 2
        private const val FADING_WINDOWS = 2

        /** What [counts] of a window that ended before [nowMs] tell to [process]; null if no other process tells. */
        public fun of(counts: WindowCounts, process: String, windowMs: Long, nowMs: Long): ToldCounts? {
            val byProcess = counts.byProcess - process
            if (byProcess.isEmpty()) return null
            val own = counts.byProcess[process]?.counts.orEmpty().toImmutableMap()
            val others = WindowCounts(byProcess).sum().toImmutableMap()
            return ToldCounts(others, own, byProcess.size, windowMs, nowMs)
        }
    }
}
