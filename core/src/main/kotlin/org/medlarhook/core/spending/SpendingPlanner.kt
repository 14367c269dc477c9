package org.medlarhook.core.spending

import kotlin.math.ceil
import kotlin.math.ln

/**
 * Autoscaler: starts upstreams for the demand expected when they become ready, and drains them before it stops them.
 *
 * The margin over the expected demand is the quantile of the forecast error at which one more upstream costs as much as
 * the late answers that it is expected to prevent, by the weights of the site. Upstreams are drained one at a time and
 * only after a period without changes; starts are not delayed.
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
        val target = targetUpstreams(updated, nowMs)
        val running = observation.serving.size + observation.arriving
        return when {
            target > running -> grow(observation, updated, target - running)
            target < running -> shrink(observation, updated, nowMs)
            else -> hold(observation, updated)
        }
    }

    private fun targetUpstreams(forecast: DemandForecast, nowMs: Long): Int {
        val deviations = laplaceQuantile(settings.weights.coverage)
        val demandNow = forecast.demandAt(nowMs, deviations) ?: 0.0
        val demandAtArrival = forecast.demandAt(nowMs + settings.arrivalDelayMs, deviations) ?: 0.0
        val upstreams = ceil(maxOf(demandNow, demandAtArrival) / settings.targetUtilisation).toInt()
        return upstreams.coerceIn(settings.minUpstreams, settings.maxUpstreams)
    }

    /** The [coverage] quantile of a Laplace (two-sided exponential) distribution, in mean absolute errors. */
    private fun laplaceQuantile(coverage: Double): Double =
        if (coverage < MEDIAN) ln(2 * coverage) else -ln(2 * (1 - coverage).coerceAtLeast(MIN_UNCOVERED))

    private fun grow(observation: SpendingObservation, forecast: DemandForecast, missing: Int): SpendingPlan {
        val undrain = observation.draining.take(missing)
        val room = settings.maxUpstreams - observation.serving.size - observation.arriving - observation.draining.size
        val start = (missing - undrain.size).coerceAtMost(room).coerceAtLeast(0)
        return SpendingPlan(start, undrain, emptyList(), observation.drained - undrain.toSet(), forecast)
    }

    private fun shrink(observation: SpendingObservation, forecast: DemandForecast, nowMs: Long): SpendingPlan {
        val isStable = nowMs - observation.lastChangeAtMs >= settings.stopAfterMs && observation.arriving == 0
        val hasSurplus = observation.serving.size > settings.minUpstreams
        val drain = if (isStable && hasSurplus) observation.serving.take(1) else emptyList()
        return SpendingPlan(0, emptyList(), drain, observation.drained, forecast)
    }

    private fun hold(observation: SpendingObservation, forecast: DemandForecast): SpendingPlan =
        SpendingPlan(0, emptyList(), emptyList(), observation.drained, forecast)

    private companion object {
        const val MEDIAN = 0.5
        const val MIN_UNCOVERED = 0.001
    }
}
