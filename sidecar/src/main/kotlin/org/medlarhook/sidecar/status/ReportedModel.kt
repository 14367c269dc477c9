package org.medlarhook.sidecar.status

/** A loaded model, or a loaded adapter of [model] if [adapter] is not empty. */
internal data class ReportedModel(
    val model: String,
    val adapter: String = "",
    val version: String = "",
)
