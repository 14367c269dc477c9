package org.medlarhook.core.routing

/**
 * What an upstream can do.
 *
 * @property decodeTokensPerS tokens of all sequences together when every slot is in use.
 * @property slots sequences that run at once.
 */
public data class EngineSpeed(
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val slots: Int,
) {
    /** Time to prefill [tokens] with nothing ahead of them. */
    public fun prefillMs(tokens: Long): Double = tokens * MS_PER_S / prefillTokensPerS

    /** Time to decode [tokens] of one sequence beside a full batch. */
    public fun decodeMs(tokens: Long): Double = tokens * MS_PER_S * slots / decodeTokensPerS

    /** Time in which a full batch decodes [tokens] in all. */
    public fun batchDecodeMs(tokens: Long): Double = tokens * MS_PER_S / decodeTokensPerS

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
