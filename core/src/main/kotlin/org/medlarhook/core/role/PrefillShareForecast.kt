package org.medlarhook.core.role

import kotlin.math.exp

/**
 * Forecast of the share of the engines' time that prefill takes, by exponential smoothing of level and trend (Holt's
 * method) with a damped trend.
 *
 * @property level the smoothed share, from 0 to 1; null before the first measurement.
 * @property trendPerS change of the share per second.
 * @property updatedAtMs time of the newest measurement.
 */
public data class PrefillShareForecast(
    val level: Double? = null,
    val trendPerS: Double = 0.0,
    val updatedAtMs: Long = 0,
) {
    /** The forecast updated with a [share] measured at [measuredAtMs]; a measurement that is not newer is ignored. */
    public fun observed(share: Double, measuredAtMs: Long): PrefillShareForecast {
        if (level == null) return PrefillShareForecast(share, 0.0, measuredAtMs)
        val elapsedS = (measuredAtMs - updatedAtMs) / MS_PER_S
        if (elapsedS <= 0) return this
        val levelGain = 1 - exp(-elapsedS / LEVEL_TIME_CONSTANT_S)
        val trendGain = 1 - exp(-elapsedS / TREND_TIME_CONSTANT_S)
        val expected = level + trendPerS * elapsedS
        val newLevel = expected + levelGain * (share - expected)
        val newTrend = trendPerS + trendGain * ((newLevel - level) / elapsedS - trendPerS)
        return PrefillShareForecast(newLevel, newTrend * exp(-elapsedS / DAMPING_TIME_CONSTANT_S), measuredAtMs)
    }

    /** The share expected at [atMs], or null before the first measurement. The trend is extrapolated by up to 30 s. */
    public fun shareAt(atMs: Long): Double? {
        val aheadS = ((atMs - updatedAtMs) / MS_PER_S).coerceAtMost(MAX_EXTRAPOLATION_S)
        return level?.let { (it + trendPerS * aheadS).coerceIn(0.0, 1.0) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val LEVEL_TIME_CONSTANT_S = 10.0
        const val TREND_TIME_CONSTANT_S = 20.0
        const val DAMPING_TIME_CONSTANT_S = 10.0
        const val MAX_EXTRAPOLATION_S = 30.0
    }
}
