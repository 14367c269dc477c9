package org.medlarhook.sidecar.engine

import kotlinx.serialization.Serializable

/** A generation as the engine takes it. */
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
