package org.medlarhook.sidecar.engine

import kotlinx.serialization.Serializable

/** One line of the engine's stream: a token, or the end of the output if [end] is set. */
@Serializable
internal data class EngineLine(
    val attemptId: String,
    val index: Int = 0,
    val text: String = "",
    val end: String? = null,
    val kvHandle: String = "",
)
