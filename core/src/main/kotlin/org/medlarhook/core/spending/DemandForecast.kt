package org.medlarhook.core.spending

import kotlin.math.abs
import kotlin.math.exp

/**
 * Forecast of a data centre's demand, in upstreams' worth of work.
 *
 * @property errorMean smoothed absolute error of the forecast over the arrival delay.
 */
public data class DemandForecast(
    val level: Double? = null,
    val trendPerS: Double = 0.0,
    val errorMean: Double = 0.0,
    val updatedAtMs: Long = 0,
) {
    /** Takes in the demand measured at [measuredAtMs]. */
    public fun observed(demand: Double, measuredAtMs: Long): DemandForecast {
        if (level == null) return DemandForecast(demand, 0.0, 0.0, measuredAtMs)
        val elapsedS = (measuredAtMs - updatedAtMs) / MS_PER_S
        if (elapsedS <= 0) return this
        val expected = level + trendPerS * elapsedS
        val newLevel = expected + smoothing(elapsedS, LEVEL_S) * (demand - expected)
        val slope = (newLevel - level) / elapsedS
        return DemandForecast(
            level = newLevel,
            trendPerS = trendPerS + smoothing(elapsedS, TREND_S) * (slope - trendPerS),
            errorMean = errorMean + smoothing(elapsedS, ERROR_S) * (abs(demand - expected) - errorMean),
            updatedAtMs = measuredAtMs,
        )
    }

    /** The demand expected at [atMs] with [deviations] mean errors on top. */
    public fun demandAt(atMs: Long, deviations: Double): Double? =
        level?.let { (it + trendPerS * (atMs - updatedAtMs) / MS_PER_S + deviations * errorMean).coerceAtLeast(0.0) }

    private fun smoothing(elapsedS: Double, constantS: Double): Double = 1 - exp(-elapsedS / constantS)

    private companion object {
        const val MS_PER_S = 1_000.0
        const val LEVEL_S = 10.0
        const val TREND_S = 40.0
        const val ERROR_S = 60.0
    }
}
