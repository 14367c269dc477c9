package org.medlarhook.core.directory

/**
 * Whether this process reaches the tables, as it tells its peers.
 *
 * A process says that it reaches the tables while its newest read worked or any write of its own is open, so that
 * nobody takes it for harmless while a write may take effect.
 *
 * @property openWrites writes of the directory that are under way or whose outcome is unknown.
 * @property reportedReachableSinceMs since when the process has said so without a break, or null while it doesn't.
 * @property failures reads that failed in a row.
 */
public data class TableReachability(
    val lastReadOk: Boolean,
    val openWrites: Int,
    val reportedReachableSinceMs: Long?,
    val failures: Int,
) {
    /** What the process tells its peers. */
    val reportsReachable: Boolean get() = reportedReachableSinceMs != null

    /** Notes a read that worked. */
    public fun readOk(nowMs: Long): TableReachability = copy(lastReadOk = true, failures = 0).reassert(nowMs)

    /** Notes a read that failed. */
    public fun readFailed(nowMs: Long): TableReachability =
        copy(lastReadOk = false, failures = failures + 1).reassert(nowMs)

    /** Notes the start of a write. */
    public fun writeOpened(nowMs: Long): TableReachability = copy(openWrites = openWrites + 1).reassert(nowMs)

    /** Notes that the outcome of a write is known. */
    public fun writeSettled(nowMs: Long): TableReachability = copy(openWrites = openWrites - 1).reassert(nowMs)

    private fun reassert(nowMs: Long): TableReachability {
        val asserts = lastReadOk || openWrites > 0
        return copy(reportedReachableSinceMs = if (asserts) reportedReachableSinceMs ?: nowMs else null)
    }

    public companion object {
        private const val ALWAYS_MS = Long.MIN_VALUE / 2

        /** A process that has just registered has never said anything else, so nobody can believe otherwise. */
        public fun ofNewProcess(): TableReachability =
            TableReachability(lastReadOk = true, openWrites = 0, reportedReachableSinceMs = ALWAYS_MS, failures = 0)
    }
}
