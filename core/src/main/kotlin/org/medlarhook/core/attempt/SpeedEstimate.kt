package org.medlarhook.core.attempt

/**
 * Moving averages of an upstream's measured speed.
 *
 * @param initialPrefillTokensPerS assumed until measured.
 * @param initialDecodeTokensPerS of one stream, assumed until measured.
 */
public class SpeedEstimate(
    initialPrefillTokensPerS: Double,
    initialDecodeTokensPerS: Double,
) {
    private val prefill = MovingRate(initialPrefillTokensPerS)
    private val decode = MovingRate(initialDecodeTokensPerS)
    private var outputShare = 1.0

    /** Prompt tokens a second. */
    public val prefillTokensPerS: Double get() = prefill.tokensPerS

    /** Output tokens a second of one stream. */
    public val decodeTokensPerS: Double get() = decode.tokensPerS

    /** Takes in that [tokens] of a prompt took [durationMs]. */
    public fun recordPrefill(tokens: Long, durationMs: Long) {
        if (tokens >= MIN_PREFILL_TOKENS) prefill.record(tokens, durationMs)
    }

    /** Takes in that a stream yielded [tokens] in [durationMs]. */
    public fun recordDecode(tokens: Long, durationMs: Long) {
        if (tokens > 0) decode.record(tokens, durationMs)
    }

    /** Takes in that an attempt ended by itself after [tokens] of at most [maxTokens]. */
    public fun recordOutput(tokens: Long, maxTokens: Long) {
        if (maxTokens > 0) outputShare += SMOOTHING * (tokens.toDouble() / maxTokens - outputShare)
    }

    /** The time that [work] takes once it runs. */
    public fun runMs(work: AttemptWork): Double =
        MS_PER_S * (work.promptTokens / prefillTokensPerS + work.outputTokens * outputShare / decodeTokensPerS)

    /** The time for which [promptTokens] and [outputTokens] keep [slots] busy. */
    public fun busyMs(promptTokens: Long, outputTokens: Long, slots: Int): Double =
        MS_PER_S * (promptTokens / prefillTokensPerS + outputTokens * outputShare / (decodeTokensPerS * slots))

    private class MovingRate(
        initialTokensPerS: Double,
    ) {
        private var tokens = initialTokensPerS
        private var durationMs = MS_PER_S

        val tokensPerS: Double get() = MS_PER_S * tokens / durationMs

        fun record(newTokens: Long, newDurationMs: Long) {
            tokens += SMOOTHING * (newTokens - tokens)
            durationMs += SMOOTHING * (maxOf(1, newDurationMs) - durationMs)
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val SMOOTHING = 0.1
        const val MIN_PREFILL_TOKENS = 64L
    }
}
