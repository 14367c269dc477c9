package org.medlarhook.sidecar.engine

import kotlinx.serialization.Serializable

/** The JSON body of a generation request to the engine. */
@Serializable
internal data class EngineRequest(
    val attemptId: String,
    val model: String,
    val adapter: String,
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val resumeFromToken: Int,
    val priority: Int,
    val kvHandle: String = "",
    val kvSource: String = "",
    val prefillOnly: Boolean = false,
)
