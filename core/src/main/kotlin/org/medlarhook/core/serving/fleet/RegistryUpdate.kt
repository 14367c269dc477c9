package org.medlarhook.core.serving.fleet

/** A result of reading the platform's registry of upstreams. */
public sealed interface RegistryUpdate {
    /** All upstreams that are registered. */
    public data class Listing(
        val upstreams: List<Upstream>,
    ) : RegistryUpdate

    /** Registrations that were written or removed since the previous update. */
    public data class Changes(
        val written: List<Upstream>,
        val removedIds: List<String>,
    ) : RegistryUpdate

    /** The registry could not be reached. */
    public data object Unreachable : RegistryUpdate
}
