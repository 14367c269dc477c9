package org.medlarhook.core.config

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.DirectoryState
import org.medlarhook.core.directory.EntityKind
import org.medlarhook.core.directory.EntityRef
import org.medlarhook.core.directory.kind

/** What must be put and deleted to bring the directory to a wanted configuration. */
@Serializable
public data class ConfigDiff(
    val puts: List<DirectoryEntity>,
    val deletes: List<EntityRef>,
) {
    /** True if nothing needs to change. */
    public val isEmpty: Boolean
        get() = puts.isEmpty() && deletes.isEmpty()

    public companion object {
        /** Compares [wanted] with [current]; keys are left alone. */
        public fun between(current: DirectoryState, wanted: ConfigDocument): ConfigDiff {
            val present = current.entities().filter { it.kind != EntityKind.KEY }.associateBy { it.ref() }
            val target = wanted.entities().associateBy { it.ref() }
            return ConfigDiff(
                puts = target.filter { (ref, entity) -> present[ref] != entity }.values.toList(),
                deletes = (present.keys - target.keys).toList(),
            )
        }

        private fun DirectoryEntity.ref() = EntityRef(kind.label, name)
    }
}
