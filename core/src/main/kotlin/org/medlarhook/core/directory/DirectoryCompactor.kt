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
 * Writes snapshots and trims the log behind them. Several processes may do so at once: the head row names only a
 * snapshot that is stored whole, and no change above the named snapshot is ever deleted.
 */
public class DirectoryCompactor(
    private val tables: TableService,
    objects: ObjectStore,
    private val retainedChanges: Long = RETAINED_CHANGES,
) {
    private val log = DirectoryLog(tables)
    private val snapshots = SnapshotStore(objects)

    /** True if [state] is far enough ahead of the snapshot that [head] names. */
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

    /** Deletes one batch of changes far enough behind the snapshot, and returns how many. */
    public fun trim(): Either<TableFailure, Int> =
        either {
            val bound = log.head().bind().snapshotVersion - retainedChanges
            if (bound <= 0) return@either 0
            deleteUpTo(DirectoryLog.keyOf(bound))
        }

    private fun Raise<TableFailure>.deleteUpTo(lastKey: String): Int {
        val rows = tables.scan(TableNames.DIRECTORY_CHANGE, limit = TRIM_BATCH).bind()
        val old = rows.filter { it.key.key <= lastKey }
        if (old.isEmpty()) return 0
        tables.transact(Transaction(emptyList(), old.map { Write(it.key, null) })).bind()
        return old.size
    }

    public companion object {
        /** Changes between two snapshots. */
        public const val SNAPSHOT_INTERVAL: Long = 500

        /** Changes behind the snapshot that stay in the log, for history and for replicas that lag. */
        public const val RETAINED_CHANGES: Long = 5_000

        private const val TRIM_BATCH = 100
    }
}
