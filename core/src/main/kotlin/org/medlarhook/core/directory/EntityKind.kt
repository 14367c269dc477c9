package org.medlarhook.core.directory

/**
 * The kinds of objects in the directory.
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
        /** Returns the kind with [label], or null. */
        public fun of(label: String): EntityKind? = entries.firstOrNull { it.label == label }
    }
}

/** The kind of this object. */
public val DirectoryEntity.kind: EntityKind
    get() =
        when (this) {
            is Workspace -> EntityKind.WORKSPACE
            is KeyGrant -> EntityKind.KEY
            is ModelDeclaration -> EntityKind.MODEL
            is ServiceDeclaration -> EntityKind.SERVICE
            is Site -> EntityKind.SITE
        }
