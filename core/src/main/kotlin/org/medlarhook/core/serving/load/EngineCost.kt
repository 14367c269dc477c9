package org.medlarhook.core.serving.load

import org.medlarhook.core.serving.fleet.EngineStage

/**
 * The time that engines need for prompts and outputs, before the speed that each has shown.
 *
 * The figures are of the engines that both users run; [SpeedRatio] corrects them for others.
 */
public object EngineCost {
    /** The engine's time for reading [tokens] of a prompt after [cachedTokens] that it holds. */
    public fun prefillMs(tokens: Int, cachedTokens: Int, stage: EngineStage?): Double {
        val rate = if (stage == EngineStage.DECODE) DECODE_STAGE_TOKENS_PER_MS else TOKENS_PER_MS
        val end = (tokens + cachedTokens).toDouble()
        val pairs = (end * end - cachedTokens.toDouble() * cachedTokens) / 2
        return tokens / rate + pairs / PAIRS_PER_MS
    }

    /** The time for writing [tokens] one after the other. */
    public fun decodeMs(tokens: Int): Double = tokens * STEP_MS

    /** Prompt tokens that an engine reads in a millisecond. */
    private const val TOKENS_PER_MS = 514.0

    /** Engines that decode read prompts at half the speed. */
    private const val DECODE_STAGE_TOKENS_PER_MS = 257.0

    /** Pairs of tokens that attention covers in a millisecond. */
    private const val PAIRS_PER_MS = 12_400_000.0

    /** One token of a batch. */
    private const val STEP_MS = 0.53
}
