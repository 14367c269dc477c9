package org.medlarhook.standins.engine

/** Costs and limits of the engine stand-in. */
internal data class EngineModel(
    val models: List<String>,
    val slots: Int,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
) {
    companion object {
        const val DEFAULT_SLOTS = 16
        const val DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
        const val DEFAULT_DECODE_TOKENS_PER_S = 40.0
    }
}
