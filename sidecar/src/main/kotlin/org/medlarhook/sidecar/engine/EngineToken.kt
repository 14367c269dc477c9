package org.medlarhook.sidecar.engine

/** One token of the output; [index] counts from 0 over the whole output of the request. */
internal data class EngineToken(
    val index: Int,
    val text: String,
)
