package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import org.medlarhook.core.directory.DirectoryLog.Companion.HEAD_KEY
import org.medlarhook.core.directory.DirectoryLog.Companion.toHead
import org.medlarhook.ports.Condition
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableNames
import org.medlarhook.ports.TableService
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write

/**
 * Writes snapshots and deletes old changes from the log. Several processes may compact at once: the head row refers
 * only to a snapshot that is completely stored, and no change above that snapshot is ever deleted.
 */
public class DirectoryCompactor(
    private val tables: TableService,
    objects: ObjectStore,
    private val retainedChanges: Long = RETAINED_CHANGES,
) {
    private val log = DirectoryLog(tables)
    private val snapshots = SnapshotStore(objects)

    /** True if [state] is at least [SNAPSHOT_INTERVAL] changes ahead of the snapshot that [head] refers to. */
    public fun isDue(state: DirectoryState, head: DirectoryHead): Boolean =
        state.version >= head.snapshotVersion + SNAPSHOT_INTERVAL

    /** Stores [state] as the newest snapshot, unless a newer one exists. */
    public fun snapshot(state: DirectoryState): Either<TableFailure, DirectoryHead> =
        either {
            snapshots.save(state).bind()
            val row = log.headRow().bind()
            val head = row.toHead()
            if (row == null || head.snapshotVersion >= state.version) return@either head
            val next = head.copy(snapshotVersion = state.version)
            val conditions = listOf(Condition(HEAD_KEY, row.version))
            tables.transact(Transaction(conditions, listOf(Write(HEAD_KEY, DirectoryJson.encode(next))))).bind()
            next
        }

    /** Deletes one batch of the changes that are no longer retained, and returns how many were deleted. */
    public fun trim(): Either<TableFailure, Int> =
        either {
            val lastTrimmed = log.head().bind().snapshotVersion - retainedChanges
            if (lastTrimmed <= 0) return@either 0
            deleteUpTo(DirectoryLog.keyOf(lastTrimmed))
        }

    private fun Raise<TableFailure>.deleteUpTo(lastKey: String): Int {
        val rows = tables.scan(TableNames.DIRECTORY_CHANGE, limit = TRIM_BATCH_CHANGES).bind()
        val old = rows.filter { it.key.key <= lastKey }
        if (old.isEmpty()) return 0
        tables.transact(Transaction(emptyList(), old.map { Write(it.key, null) })).bind()
        return old.size
    }

    public companion object {
        /** Number of changes between two snapshots. */
        public const val SNAPSHOT_INTERVAL: Long = 500

        /** Number of changes before the snapshot that stay in the log, for history and for lagging replicas. */
        public const val RETAINED_CHANGES: Long = 5_000

        private const val TRIM_BATCH_CHANGES = 100
    }
}
