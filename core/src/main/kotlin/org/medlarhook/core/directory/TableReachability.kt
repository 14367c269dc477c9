package org.medlarhook.core.directory

/**
 * Whether this process reaches the tables, as it reports to its peers.
 *
 * A process reports that it reaches the tables while its newest read succeeded or any of its writes is open. So no peer
 * assumes that it cannot change the directory while a write may still take effect.
 *
 * @property openWrites number of directory writes that are under way or whose outcome is unknown.
 * @property reportedReachableSinceMs start of the uninterrupted time in which the process has reported that it reaches
 * the tables, or null while it reports that it does not.
 * @property failures number of consecutive failed reads.
 */
public data class TableReachability(
    val lastReadOk: Boolean,
    val openWrites: Int,
    val reportedReachableSinceMs: Long?,
    val failures: Int,
) {
    /** True if the process reports to its peers that it reaches the tables. */
    val reportsReachable: Boolean get() = reportedReachableSinceMs != null

    /** Returns the reachability after a successful read. */
    public fun readOk(nowMs: Long): TableReachability = copy(lastReadOk = true, failures = 0).updateReport(nowMs)

    /** Returns the reachability after a failed read. */
    public fun readFailed(nowMs: Long): TableReachability =
        copy(lastReadOk = false, failures = failures + 1).updateReport(nowMs)

    /** Returns the reachability after the start of a write. */
    public fun writeOpened(nowMs: Long): TableReachability = copy(openWrites = openWrites + 1).updateReport(nowMs)

    /** Returns the reachability after the outcome of a write is known. */
    public fun writeSettled(nowMs: Long): TableReachability = copy(openWrites = openWrites - 1).updateReport(nowMs)

    private fun updateReport(nowMs: Long): TableReachability {
        val reports = lastReadOk || openWrites > 0
        return copy(reportedReachableSinceMs = if (reports) reportedReachableSinceMs ?: nowMs else null)
    }

    public companion object {
        private const val DISTANT_PAST_MS = Long.MIN_VALUE / 2

        /**
         * The initial reachability: reported as reaching the tables since the distant past, because a process that has
         * just registered has never reported otherwise to a peer.
         */
        public fun initial(): TableReachability =
            TableReachability(
                lastReadOk = true,
                openWrites = 0,
                reportedReachableSinceMs = DISTANT_PAST_MS,
                failures = 0,
            )
    }
}
