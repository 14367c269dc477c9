package org.medlarhook.core.serving.fair

import kotlin.math.exp

/** An amount that decays with the time constant [TIME_CONSTANT_MS]; it stands for about the last two seconds. */
internal data class DecayingAmount(
    private val amount: Double = 0.0,
    private val atMs: Long = 0,
) {
    /** What is left of the amount at [nowMs]. */
    fun at(nowMs: Long): Double = amount * exp(-(nowMs - atMs).coerceAtLeast(0) / TIME_CONSTANT_MS)

    /** The amount with [more] added at [nowMs]. */
    fun plus(more: Double, nowMs: Long): DecayingAmount = DecayingAmount(at(nowMs) + more, nowMs)

    companion object {
        const val TIME_CONSTANT_MS = 2_000.0
    }
}
