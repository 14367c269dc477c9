package org.medlarhook.core.serving.fleet

/** A result of reading the platform's registry of upstreams. */
public sealed interface RegistryUpdate {
    /** All upstreams that are registered. */
    public data class Listing(
        val upstreams: List<Upstream>,
    ) : RegistryUpdate

    /** What has changed since the previous update, in the order in which it happened. */
    public data class Changes(
        val changes: List<RegistryChange>,
    ) : RegistryUpdate {
        /** The upstreams that were written, each time that they were. */
        public val written: List<Upstream> get() = changes.filterIsInstance<RegistryChange.Written>().map {
            it.upstream
        }

        /** The last change of each registration. */
        public val latest: Collection<RegistryChange> get() = changes.associateBy { it.id }.values

        /** True if a registration was removed that was neither among [knownIds] nor written earlier in this update. */
        public fun removesUnseen(knownIds: Set<String>): Boolean {
            val seenIds = knownIds.toMutableSet()
            for (change in changes) {
                when (change) {
                    is RegistryChange.Written -> seenIds += change.id
                    is RegistryChange.Removed -> if (change.id !in seenIds) return true
                    is RegistryChange.Unreadable -> Unit
                }
            }
            return false
        }
    }

    /** The registry could not be reached. */
    public data object Unreachable : RegistryUpdate
}
