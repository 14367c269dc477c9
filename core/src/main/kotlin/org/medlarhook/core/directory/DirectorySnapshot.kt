package org.medlarhook.core.directory

import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.Serializable

/** The whole directory at one version, as stored in the object store. */
@Serializable
public data class DirectorySnapshot(
    val version: Long,
    val entities: List<DirectoryEntity>,
    val retiredKeyIds: List<String>,
) {
    /** Restores the [DirectoryState] that this snapshot was taken of. */
    public fun toState(): DirectoryState {
        val empty = DirectoryState(version = version, retiredKeyIds = retiredKeyIds.toPersistentSet())
        return entities.fold(empty) { state, entity -> state.put(entity) }
    }

    public companion object {
        /** Takes a snapshot of [state]. */
        public fun of(state: DirectoryState): DirectorySnapshot =
            DirectorySnapshot(state.version, state.entities(), state.retiredKeyIds.toList())
    }
}
