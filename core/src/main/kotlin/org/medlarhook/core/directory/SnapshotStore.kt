package org.medlarhook.core.directory

import arrow.core.Either
import org.medlarhook.ports.ObjectStore
import org.medlarhook.ports.TableFailure

/** Stores snapshots of the directory in the object store, one object per version. */
internal class SnapshotStore(
    private val objects: ObjectStore,
) {
    fun save(state: DirectoryState): Either<TableFailure, Unit> {
        val text = DirectoryJson.encode(DirectorySnapshot.of(state))
        return objects.put(nameOf(state.version), text.encodeToByteArray())
    }

    /** Returns the state restored from the snapshot at [version], or null if there is none. */
    fun load(version: Long): Either<TableFailure, DirectoryState?> =
        objects.get(nameOf(version)).map { content ->
            content?.let { DirectoryJson.decodeSnapshot(it.decodeToString()).toState() }
        }

    private fun nameOf(version: Long) = "directory/snapshot-${DirectoryLog.keyOf(version)}"
}
