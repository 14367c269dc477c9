package org.medlarhook.standins.engine

/**
 * Costs and limits of the engine stand-in.
 *
 * @property decodeTokensPerS of one stream that runs alone.
 * @property batchSlowdown by which share each further stream of the batch lengthens a step.
 * @property checksFencing whether orders with an old fencing number are refused.
 */
internal data class EngineModel(
    val models: List<String>,
    val slots: Int,
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val batchSlowdown: Double = 0.01,
    val cacheTokens: Int = 200_000,
    val kvBytesPerToken: Long = 100_000,
    val kvBytesPerS: Double = 10e9,
    val orderMs: Long = 200,
    val roleChangeMs: Long = 3_000,
    val checksFencing: Boolean = false,
    val loadLagMs: Long = 500,
    val cacheEventDelayMs: Long = 1_000,
) {
    companion object {
        const val DEFAULT_SLOTS = 16
        const val DEFAULT_PREFILL_TOKENS_PER_S = 8_000.0
        const val DEFAULT_DECODE_TOKENS_PER_S = 40.0
    }
}
