package org.medlarhook.core.serving.fleet

/** What the platform's registry says of the upstreams. */
public sealed interface RegistryUpdate {
    /** All upstreams that are registered. */
    public data class Listing(
        val upstreams: List<Upstream>,
    ) : RegistryUpdate

    /** Registrations that were written or removed since the update before. */
    public data class Changes(
        val written: List<Upstream>,
        val removedIds: List<String>,
    ) : RegistryUpdate

    /** The registry could not be reached. */
    public data object Unreachable : RegistryUpdate
}
