package org.medlarhook.core.routing

/**
 * The measured or configured speed of an upstream.
 *
 * @property prefillTokensPerS prompt tokens processed per second.
 * @property decodeTokensPerS output tokens per second of all sequences together while every batch slot is in use.
 * @property slots number of batch slots, that is of sequences decoded at once.
 */
public data class EngineSpeed(
    val prefillTokensPerS: Double,
    val decodeTokensPerS: Double,
    val slots: Int,
) {
    /** Time to prefill [tokens] while no other prefill work is queued. */
    public fun prefillMs(tokens: Long): Double = tokens * MS_PER_S / prefillTokensPerS

    /** Time to decode [tokens] of one sequence in a full batch. */
    public fun decodeMs(tokens: Long): Double = tokens * MS_PER_S * slots / decodeTokensPerS

    /** Time in which a full batch decodes [tokens] in total over all its sequences. */
    public fun batchDecodeMs(tokens: Long): Double = tokens * MS_PER_S / decodeTokensPerS

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
