package org.medlarhook.core.spending

import kotlin.math.ceil
import kotlin.math.ln

/**
 * Starts upstreams against the demand expected when they arrive, and stops them after a drain.
 *
 * The margin over the expected demand is the quantile of the forecast's error at which one more upstream costs as
 * much as the answers that it is expected to save, by the weights of the site. Stops wait until nothing has changed
 * for a while and go one by one; starts do not wait.
 */
public class SpendingPlanner(
    private val settings: SpendingSettings,
) : SpendingPolicy {
    override fun plan(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan {
        if (nowMs - observation.measuredAtMs >
            settings.maxAgeMs
        ) {
            return StaticSpending.plan(observation, forecast, nowMs)
        }
        val updated = forecast.observed(observation.demandUpstreams, observation.measuredAtMs)
        val wanted = wantedUpstreams(updated, nowMs)
        val running = observation.serving.size + observation.arriving
        return when {
            wanted > running -> grow(observation, updated, wanted - running)
            wanted < running -> shrink(observation, updated, nowMs)
            else -> hold(observation, updated)
        }
    }

    private fun wantedUpstreams(forecast: DemandForecast, nowMs: Long): Int {
        val deviations = deviations(settings.weights.coverage)
        val soon = forecast.demandAt(nowMs, deviations) ?: 0.0
        val atArrival = forecast.demandAt(nowMs + settings.arrivalDelayMs, deviations) ?: 0.0
        val upstreams = ceil(maxOf(soon, atArrival) / settings.targetUtilisation).toInt()
        return upstreams.coerceIn(settings.minUpstreams, settings.maxUpstreams)
    }

    /** Mean absolute errors that cover the share [coverage] of errors with a two-sided exponential distribution. */
    private fun deviations(coverage: Double): Double =
        if (coverage < MEDIAN) ln(2 * coverage) else -ln(2 * (1 - coverage).coerceAtLeast(MIN_UNCOVERED))

    private fun grow(observation: SpendingObservation, forecast: DemandForecast, missing: Int): SpendingPlan {
        val undrain = observation.draining.take(missing)
        val room = settings.maxUpstreams - observation.serving.size - observation.arriving - observation.draining.size
        val start = (missing - undrain.size).coerceAtMost(room).coerceAtLeast(0)
        return SpendingPlan(start, undrain, emptyList(), observation.drained - undrain.toSet(), forecast)
    }

    private fun shrink(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan {
        val settled = nowMs - observation.lastChangeAtMs >= settings.stopAfterMs && observation.arriving == 0
        val spare = observation.serving.size > settings.minUpstreams
        val drain = if (settled && spare) observation.serving.take(1) else emptyList()
        return SpendingPlan(0, emptyList(), drain, observation.drained, forecast)
    }

    private fun hold(observation: SpendingObservation, forecast: DemandForecast): SpendingPlan =
        SpendingPlan(0, emptyList(), emptyList(), observation.drained, forecast)

    private companion object {
        const val MEDIAN = 0.5
        const val MIN_UNCOVERED = 0.001
    }
}
