package org.medlarhook.sidecar.engine

/**
 * The end of a generation, as the last line of the engine's stream reports it.
 *
 * @property finishReason why the output ended, such as `length`.
 * @property kvHandle handle of the exported KV cache; empty if none was exported.
 */
internal data class EngineEnd(
    val finishReason: String,
    val kvHandle: String = "",
)
