package org.medlarhook.core.routing

/**
 * Identifies a model with its version and adapter, or a service by its name.
 *
 * @property version null in a request for any version.
 * @property adapter null for the model without an adapter.
 */
public data class ModelRef(
    val model: String,
    val version: String? = null,
    val adapter: String? = null,
) {
    /** Whether an upstream that has loaded this can serve a request for [requested]. */
    public fun satisfies(requested: ModelRef): Boolean =
        model == requested.model &&
            adapter == requested.adapter &&
            (requested.version == null || version == requested.version)
}
