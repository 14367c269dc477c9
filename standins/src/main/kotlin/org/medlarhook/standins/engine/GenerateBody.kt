package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** A generation request that a sidecar sends to its engine. */
@Serializable
internal data class GenerateBody(
    val attemptId: String,
    val model: String,
    val adapter: String = "",
    val prompt: String,
    val promptTokens: Int,
    val maxOutputTokens: Int,
    val resumeFromToken: Int = 0,
    val priority: Int = 0,
    val kvHandle: String = "",
    val kvSource: String = "",
    val prefillOnly: Boolean = false,
)
