package org.medlarhook.core.directory

/**
 * The kind of an object in the directory.
 *
 * @property label the kind as serialised.
 */
public enum class EntityKind(
    public val label: String,
) {
    WORKSPACE("workspace"),
    KEY("key"),
    MODEL("model"),
    SERVICE("service"),
    SITE("site"),
    ;

    public companion object {
        /** Returns the kind with [label], or null if there is none. */
        public fun of(label: String): EntityKind? = entries.firstOrNull { it.label == label }
    }
}

/** The kind that, with the name, identifies this object in the directory. */
public val DirectoryEntity.kind: EntityKind
    get() =
        when (this) {
            is Workspace -> EntityKind.WORKSPACE
            is KeyGrant -> EntityKind.KEY
            is ModelDeclaration -> EntityKind.MODEL
            is ServiceDeclaration -> EntityKind.SERVICE
            is Site -> EntityKind.SITE
        }
