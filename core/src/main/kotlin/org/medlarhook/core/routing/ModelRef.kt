package org.medlarhook.core.routing

/** A model with its version and adapter, or a plain service by its name; null stands for any version, no adapter. */
public data class ModelRef(
    val model: String,
    val version: String? = null,
    val adapter: String? = null,
) {
    /** Tells whether an upstream that has loaded this can answer a request for [wanted]. */
    public fun answers(wanted: ModelRef): Boolean =
        model == wanted.model &&
            adapter == wanted.adapter &&
            (wanted.version == null || version == wanted.version)
}
