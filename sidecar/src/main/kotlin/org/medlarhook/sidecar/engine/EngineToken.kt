package org.medlarhook.sidecar.engine

/** One token of the output. */
internal data class EngineToken(
    val index: Int,
    val text: String,
)
