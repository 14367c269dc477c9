package org.medlarhook.core.directory

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService

/**
 * Reads from the tables what a replica lacks: only the head row if nothing has changed, else the log, or a snapshot
 * and the log after it.
 */
public class DirectoryReader(
    tables: TableService,
    objects: ObjectStore,
) {
    private val log = DirectoryLog(tables)
    private val snapshots = SnapshotStore(objects)

    /** Returns what a replica at [version] lacks. A long log takes several polls of one page each. */
    public fun poll(version: Long): Either<TableFailure, DirectoryPage> =
        either {
            val head = log.head().bind()
            if (head.version <= version) return@either DirectoryPage(head.version, null, emptyList())
            val changes = log.readAfter(version).bind()
            if (changes.firstOrNull()?.version == version + 1) return@either DirectoryPage(head.version, null, changes)
            fromSnapshot(head)
        }

    private fun Raise<TableFailure>.fromSnapshot(head: DirectoryHead): DirectoryPage {
        val snapshot = snapshots.load(head.snapshotVersion).bind()
        val changes = log.readAfter(head.snapshotVersion).bind()
        return DirectoryPage(head.version, snapshot, changes)
    }
}
