package org.medlarhook.core.serving.load

import org.medlarhook.core.serving.fleet.EngineStage

/**
 * Predicts the time that engines need for prefill and decode, before correction by each engine's observed speed.
 *
 * The constants are those of the engines that both users run; [SpeedRatio] corrects them for other engines.
 */
public object EngineCost {
    /** The engine's time to prefill [tokens] of a prompt that follow [cachedTokens] in its prefix cache. */
    public fun prefillMs(tokens: Int, cachedTokens: Int, stage: EngineStage?): Double {
        val rate = if (stage == EngineStage.DECODE) DECODE_STAGE_PREFILL_TOKENS_PER_MS else PREFILL_TOKENS_PER_MS
        val end = (tokens + cachedTokens).toDouble()
        val pairs = (end * end - cachedTokens.toDouble() * cachedTokens) / 2
        return tokens / rate + pairs / ATTENTION_PAIRS_PER_MS
    }

    /** The time to decode [tokens], one per decode step. */
    public fun decodeMs(tokens: Int): Double = tokens * DECODE_STEP_MS

    /** Prompt tokens that an engine prefills in a millisecond, without attention. */
    private const val PREFILL_TOKENS_PER_MS = 514.0

    /** Engines of the decode stage prefill at half the speed. */
    private const val DECODE_STAGE_PREFILL_TOKENS_PER_MS = 257.0

    /** Pairs of tokens for which attention is computed in a millisecond. */
    private const val ATTENTION_PAIRS_PER_MS = 12_400_000.0

    /** One decode step of a batch, which yields one token of each request. */
    private const val DECODE_STEP_MS = 0.53
}
