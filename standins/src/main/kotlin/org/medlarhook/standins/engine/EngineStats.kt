package org.medlarhook.standins.engine

import kotlinx.serialization.Serializable

/** Tokens generated and prefilled by the engine since its start. */
@Serializable
internal data class EngineStats(
    val generatedTokens: Long,
    val prefilledTokens: Long,
)
