package org.medlarhook.core.serving.load

import org.medlarhook.core.serving.fleet.EngineStage

/**
 * The time that the engines of a service need for prefill and decode, learned from this process's own requests.
 *
 * Queueing and the work of other processes only add to an observed time, so a low quantile of the recent samples is the
 * time of an engine without a queue. [SpeedRatio] then corrects it for each engine, and [PredictionError] for load.
 *
 * @property prefillStage time for a prompt token at engines of the prefill stage, in milliseconds.
 * @property otherStages the same at the other engines, which decode as well.
 * @property decode time of a decode step, in milliseconds.
 * @property slowestDecode the same at a loaded engine.
 */
public data class EngineRates(
    private val prefillStage: RecentQuantile = RecentQuantile(UNLOADED_QUANTILE),
    private val otherStages: RecentQuantile = RecentQuantile(UNLOADED_QUANTILE),
    private val decode: RecentQuantile = RecentQuantile(UNLOADED_QUANTILE),
    private val slowestDecode: RecentQuantile = RecentQuantile(GREATEST_QUANTILE),
) {
    /** The time for a prompt token at an engine of [stage], or null before the first observation. */
    public fun prefillMsPerToken(stage: EngineStage?): Double? =
        if (stage == EngineStage.PREFILL) {
            prefillStage.value ?: otherStages.value?.div(DECODE_STAGE_FACTOR)
        } else {
            otherStages.value ?: prefillStage.value?.times(if (stage == null) 1.0 else DECODE_STAGE_FACTOR)
        }

    /** The time of a decode step, which yields one token of each request, or null before the first observation. */
    public val decodeStepMs: Double? get() = decode.value

    /** The longest recent time of a decode step, or null before the first observation. */
    public val slowestDecodeStepMs: Double? get() = slowestDecode.value

    /** Records that [tokens] of a prompt were prefilled in [observedMs] at an engine of [stage]. */
    public fun prefilled(tokens: Int, observedMs: Double, stage: EngineStage?): EngineRates {
        if (tokens < MIN_PREFILL_SAMPLE_TOKENS) return this
        val sample = observedMs.coerceAtLeast(MIN_OBSERVED_MS) / tokens
        return if (stage == EngineStage.PREFILL) {
            copy(prefillStage = prefillStage.with(sample))
        } else {
            copy(otherStages = otherStages.with(sample))
        }
    }

    /** Records that [tokens], as estimated beforehand, were decoded in [observedMs] after the first token. */
    public fun decoded(tokens: Int, observedMs: Double): EngineRates {
        if (tokens < MIN_DECODE_SAMPLE_TOKENS) return this
        val sample = observedMs / tokens
        return copy(decode = decode.with(sample), slowestDecode = slowestDecode.with(sample))
    }

    private companion object {
        const val UNLOADED_QUANTILE = 0.25
        const val GREATEST_QUANTILE = 1.0

        /** Engines of the decode stage prefill at half the speed of the prefill stage. */
        const val DECODE_STAGE_FACTOR = 2.0

        /** The time of shorter prefills consists mostly of scheduling and network delay. */
        const val MIN_PREFILL_SAMPLE_TOKENS = 500

        /** Shorter outputs end within one event, so that their duration can't be observed. */
        const val MIN_DECODE_SAMPLE_TOKENS = 32

        const val MIN_OBSERVED_MS = 1.0
    }
}
