package org.medlarhook.standins.engine

/**
 * Speeds, durations and limits of the engine stand-in.
 *
 * @property decodeTokensPerS decode speed of a stream that is alone in the batch.
 * @property batchSlowdown share of a step's duration that each further stream of the batch adds.
 * @property orderMs duration of loading or unloading a model or adapter.
 * @property checksFencing whether orders with an outdated fencing number are refused.
 * @property loadLagMs age of the load reports that the engine publishes.
 */
internal data class EngineOptions(
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
