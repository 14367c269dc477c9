package org.medlarhook.core.serving.fleet

/** A change of the registration under [id]. */
public sealed interface RegistryChange {
    public val id: String

    /** The registration of [upstream] was written. */
    public data class Written(
        val upstream: Upstream,
    ) : RegistryChange {
        override val id: String get() = upstream.id
    }

    /** The registration was removed. */
    public data class Removed(
        override val id: String,
    ) : RegistryChange

    /** Something was written that names no upstream. */
    public data class Unreadable(
        override val id: String,
    ) : RegistryChange
}
