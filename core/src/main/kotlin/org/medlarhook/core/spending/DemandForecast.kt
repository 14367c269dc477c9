package org.medlarhook.core.spending

import kotlin.math.abs
import kotlin.math.exp

/**
 * Forecast of the demand on a data centre by exponential smoothing of level and trend (Holt's method). Demand is
 * measured in upstreams: 1.0 is the work that one upstream can do.
 *
 * @property level the smoothed demand; null before the first measurement.
 * @property trendPerS change of the demand per second.
 * @property errorMean smoothed absolute error of the forecast from one measurement to the next.
 * @property updatedAtMs time of the newest measurement.
 */
public data class DemandForecast(
    val level: Double? = null,
    val trendPerS: Double = 0.0,
    val errorMean: Double = 0.0,
    val updatedAtMs: Long = 0,
) {
    /** The forecast updated with a [demand] measured at [measuredAtMs]; a measurement that is not newer is ignored. */
    public fun observed(demand: Double, measuredAtMs: Long): DemandForecast {
        if (level == null) return DemandForecast(demand, 0.0, 0.0, measuredAtMs)
        val elapsedS = (measuredAtMs - updatedAtMs) / MS_PER_S
        if (elapsedS <= 0) return this
        val expected = level + trendPerS * elapsedS
        val newLevel = expected + gain(elapsedS, LEVEL_TIME_CONSTANT_S) * (demand - expected)
        val slope = (newLevel - level) / elapsedS
        return DemandForecast(
            level = newLevel,
            trendPerS = trendPerS + gain(elapsedS, TREND_TIME_CONSTANT_S) * (slope - trendPerS),
            errorMean = errorMean + gain(elapsedS, ERROR_TIME_CONSTANT_S) * (abs(demand - expected) - errorMean),
            updatedAtMs = measuredAtMs,
        )
    }

    /** The demand expected at [atMs] plus [deviations] times the mean error; null before the first measurement. */
    public fun demandAt(atMs: Long, deviations: Double): Double? =
        level?.let { (it + trendPerS * (atMs - updatedAtMs) / MS_PER_S + deviations * errorMean).coerceAtLeast(0.0) }

    private fun gain(elapsedS: Double, timeConstantS: Double): Double = 1 - exp(-elapsedS / timeConstantS)

    private companion object {
        const val MS_PER_S = 1_000.0
        const val LEVEL_TIME_CONSTANT_S = 10.0
        const val TREND_TIME_CONSTANT_S = 40.0
        const val ERROR_TIME_CONSTANT_S = 60.0
    }
}
