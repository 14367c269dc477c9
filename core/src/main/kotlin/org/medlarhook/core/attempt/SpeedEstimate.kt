package org.medlarhook.core.attempt

/**
 * Exponential moving averages of an upstream's measured speed.
 *
 * @param initialPrefillTokensPerS prompt tokens per second before the first measurement.
 * @param initialDecodeTokensPerS output tokens per second of one stream before the first measurement.
 */
public class SpeedEstimate(
    initialPrefillTokensPerS: Double,
    initialDecodeTokensPerS: Double,
) {
    private val prefill = MovingRate(initialPrefillTokensPerS)
    private val decode = MovingRate(initialDecodeTokensPerS)
    private var outputShare = 1.0

    /** Prompt tokens per second. */
    public val prefillTokensPerS: Double get() = prefill.tokensPerS

    /** Output tokens per second of one stream. */
    public val decodeTokensPerS: Double get() = decode.tokensPerS

    /** Records that the prefill of [tokens] prompt tokens took [durationMs]. Ignores short prompts. */
    public fun recordPrefill(tokens: Long, durationMs: Long) {
        if (tokens >= MIN_PREFILL_TOKENS) prefill.record(tokens, durationMs)
    }

    /** Records that one stream generated [tokens] output tokens in [durationMs]. */
    public fun recordDecode(tokens: Long, durationMs: Long) {
        if (tokens > 0) decode.record(tokens, durationMs)
    }

    /** Records that an attempt ended by itself after [tokens] of at most [maxTokens] output tokens. */
    public fun recordOutput(tokens: Long, maxTokens: Long) {
        if (maxTokens > 0) outputShare += SMOOTHING * (tokens.toDouble() / maxTokens - outputShare)
    }

    /** The predicted run time of [work] once it has a slot, in milliseconds. */
    public fun runMs(work: AttemptWork): Double =
        MS_PER_S * (work.promptTokens / prefillTokensPerS + work.outputTokens * outputShare / decodeTokensPerS)

    /** The time in milliseconds for which [promptTokens] and [outputTokens] occupy [slots] slots. */
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
