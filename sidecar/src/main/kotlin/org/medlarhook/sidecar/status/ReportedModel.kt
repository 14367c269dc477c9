package org.medlarhook.sidecar.status

/** A loaded model, or an adapter of it. */
internal data class ReportedModel(
    val model: String,
    val adapter: String = "",
    val version: String = "",
)
