package org.medlarhook.core.config

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.EntityKind
import org.medlarhook.core.directory.EntityRef
import org.medlarhook.core.directory.kind

/** The objects to put and to delete so that the directory matches a desired configuration. */
@Serializable
public data class ConfigDiff(
    val puts: List<DirectoryEntity>,
    val deletes: List<EntityRef>,
) {
    /** True if both configurations are equal. */
    public val isEmpty: Boolean
        get() = puts.isEmpty() && deletes.isEmpty()

    public companion object {
        /** Returns the difference from [current] to [desired]. Keys are not compared and stay as they are. */
        public fun between(current: DirectoryState, desired: ConfigDocument): ConfigDiff {
            val present = current.entities().filter { it.kind != EntityKind.KEY }.associateBy { it.ref() }
            val target = desired.entities().associateBy { it.ref() }
            return ConfigDiff(
                puts = target.filter { (ref, entity) -> present[ref] != entity }.values.toList(),
                deletes = (present.keys - target.keys).toList(),
            )
        }

        private fun DirectoryEntity.ref() = EntityRef(kind.label, name)
    }
}
