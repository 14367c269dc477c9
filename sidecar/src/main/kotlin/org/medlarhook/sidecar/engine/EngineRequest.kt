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
)

/** One token of the output. */
@Serializable
internal data class EngineToken(
    val index: Int,
    val text: String,
)

/** The end mark of the output. */
@Serializable
internal data class EngineEnd(
    val end: String,
    val outputTokens: Int,
)
