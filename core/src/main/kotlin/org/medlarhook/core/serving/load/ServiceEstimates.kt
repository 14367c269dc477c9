package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.place.Placement

/**
 * What this process has learned about a service as a whole.
 *
 * @property error observed time to the first event divided by the predicted time.
 * @property rates the speed of its engines.
 * @property answers by route, the times of recent complete answers of a plain service, in milliseconds. The routes of a
 * service may differ greatly, so that an answer tells nothing of those of another route.
 * @property workTimes how the work times that its upstreams report vary.
 * @property prefixHits how often an unverified shared prefix is found in a cache.
 */
public data class ServiceEstimates(
    val error: PredictionError = PredictionError(),
    val rates: EngineRates = EngineRates(),
    val prefixHits: PrefixHitShare = PrefixHitShare(),
    val workTimes: WorkTimeModel = WorkTimeModel(),
    private val answers: PersistentMap<String, RecentQuantile> = persistentMapOf(),
) {
    /** The longest recent answer of a plain service on [route] in milliseconds, or null before the first one. */
    public fun longestAnswerMs(route: String): Double? = answers[route]?.value

    /** Records a complete answer of a plain service on [route] that took [observedMs]. */
    public fun answered(route: String, observedMs: Double): ServiceEstimates =
        copy(answers = answers.put(route, (answers[route] ?: RecentQuantile(GREATEST_QUANTILE)).with(observedMs)))

    /**
     * Records the first event of an attempt that was placed as [chosen] and that prefilled its prompt at an engine of
     * [stage], [observedMs] after it was sent. [workTime] is how long work takes there, divided by the mean.
     */
    public fun firstEvent(
        chosen: Placement.Chosen,
        observedMs: Double,
        stage: EngineStage?,
        workTime: Double = 1.0,
    ): ServiceEstimates {
        val prefix = chosen.prefix ?: return this
        val predictedMs = if (chosen.prefill == null) chosen.firstEventMs else chosen.readyMs
        val ifCachedMs = predictedMs - (1 - prefix.hitShare) * prefix.savedMs
        return copy(
            rates = rates.prefilled(prefix.prefillTokens, (observedMs - prefix.roundTripMs) / workTime, stage),
            prefixHits = prefixHits.observed(ifCachedMs, ifCachedMs + prefix.savedMs, observedMs),
        )
    }

    private companion object {
        const val GREATEST_QUANTILE = 1.0
    }
}
