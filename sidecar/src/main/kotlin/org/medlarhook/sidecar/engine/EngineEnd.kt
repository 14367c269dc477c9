package org.medlarhook.sidecar.engine

/** The end mark of the output. */
internal data class EngineEnd(
    val end: String,
    val kvHandle: String = "",
)
