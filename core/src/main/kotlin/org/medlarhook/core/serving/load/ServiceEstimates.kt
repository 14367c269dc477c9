package org.medlarhook.core.serving.load

import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.place.Placement

/**
 * What this process has learned about a service as a whole.
 *
 * @property error observed time to the first event divided by the predicted time.
 * @property rates the speed of its engines.
 * @property answers the times of recent complete answers of a plain service, in milliseconds.
 * @property prefixHits how often an unverified shared prefix is found in a cache.
 */
public data class ServiceEstimates(
    val error: PredictionError = PredictionError(),
    val rates: EngineRates = EngineRates(),
    val prefixHits: PrefixHitShare = PrefixHitShare(),
    private val answers: RecentQuantile = RecentQuantile(1.0),
) {
    /** The longest recent answer of a plain service in milliseconds, or null before the first one. */
    public val longestAnswerMs: Double? get() = answers.value

    /** Records a complete answer of a plain service that took [observedMs]. */
    public fun answered(observedMs: Double): ServiceEstimates = copy(answers = answers.with(observedMs))

    /**
     * Records the first event of an attempt that was placed as [chosen] and that prefilled its prompt at an engine of
     * [stage], [observedMs] after it was sent.
     */
    public fun firstEvent(chosen: Placement.Chosen, observedMs: Double, stage: EngineStage?): ServiceEstimates {
        val prefix = chosen.prefix ?: return this
        val predictedMs = if (chosen.prefill == null) chosen.firstEventMs else chosen.readyMs
        val ifCachedMs = predictedMs - (1 - prefix.hitShare) * prefix.savedMs
        return copy(
            rates = rates.prefilled(prefix.prefillTokens, observedMs - prefix.roundTripMs, stage),
            prefixHits = prefixHits.observed(ifCachedMs, ifCachedMs + prefix.savedMs, observedMs),
        )
    }
}
