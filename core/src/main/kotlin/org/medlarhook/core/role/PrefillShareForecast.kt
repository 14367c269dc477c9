package org.medlarhook.core.role

import kotlin.math.exp

/**
 * Forecast of the share of the engines' time that prefill takes: level and damped trend with exponential
 * smoothing.
 *
 * @property trendPerS change of the share per second.
 */
public data class PrefillShareForecast(
    val level: Double? = null,
    val trendPerS: Double = 0.0,
    val updatedAtMs: Long = 0,
) {
    /** Takes in a share measured at [measuredAtMs]. */
    public fun observed(share: Double, measuredAtMs: Long): PrefillShareForecast {
        if (level == null) return PrefillShareForecast(share, 0.0, measuredAtMs)
        val elapsedS = (measuredAtMs - updatedAtMs) / MS_PER_S
        if (elapsedS <= 0) return this
        val gain = 1 - exp(-elapsedS / LEVEL_S)
        val trendGain = 1 - exp(-elapsedS / TREND_S)
        val expected = level + trendPerS * elapsedS
        val newLevel = expected + gain * (share - expected)
        val newTrend = trendPerS + trendGain * ((newLevel - level) / elapsedS - trendPerS)
        return PrefillShareForecast(newLevel, newTrend * exp(-elapsedS / DAMPING_S), measuredAtMs)
    }

    /** The share expected at [atMs], or null if nothing was measured yet. */
    public fun shareAt(atMs: Long): Double? {
        val aheadS = ((atMs - updatedAtMs) / MS_PER_S).coerceAtMost(MAX_AHEAD_S)
        return level?.let { (it + trendPerS * aheadS).coerceIn(0.0, 1.0) }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val LEVEL_S = 10.0
        const val TREND_S = 20.0
        const val DAMPING_S = 10.0
        const val MAX_AHEAD_S = 30.0
    }
}
