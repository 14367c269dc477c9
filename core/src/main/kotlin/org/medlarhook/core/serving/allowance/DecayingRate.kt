package org.medlarhook.core.serving.allowance

import kotlin.math.exp

/**
 * A moving average of a rate with exponentially decaying weights.
 *
 * Without news a rate decays, so that a process that falls silent soon counts as idle. Rates with the same time
 * constant add up to one that decays in the same way.
 *
 * @property perS units a second as of [atMs].
 */
public data class DecayingRate(
    val perS: Double,
    val atMs: Long,
) {
    /** The rate at [nowMs] without news since [atMs]. */
    public fun at(nowMs: Long): Double = perS * exp(-elapsedMs(nowMs) / TIME_CONSTANT_MS)

    /** The units that are expected from [atMs] to [nowMs]. */
    public fun expectedUntil(nowMs: Long): Double = (perS - at(nowMs)) * TIME_CONSTANT_MS / MS_PER_S

    /** The rate after [units] came at [nowMs]. */
    public fun plusUnits(units: Double, nowMs: Long): DecayingRate =
        plusRate(units * MS_PER_S / TIME_CONSTANT_MS, nowMs)

    /** The rate with [changePerS] added at [nowMs]. */
    public fun plusRate(changePerS: Double, nowMs: Long): DecayingRate =
        DecayingRate((at(nowMs) + changePerS).coerceAtLeast(0.0), maxOf(nowMs, atMs))

    /** The units that came lately, which the rate stands for. */
    public fun lastingUnits(): Double = perS * TIME_CONSTANT_MS / MS_PER_S

    private fun elapsedMs(nowMs: Long): Double = (nowMs - atMs).coerceAtLeast(0).toDouble()

    private companion object {
        /** Spans several requests of a workspace that has few, and follows a change of its demand within seconds. */
        const val TIME_CONSTANT_MS = 3_000.0
        const val MS_PER_S = 1_000.0
    }
}
