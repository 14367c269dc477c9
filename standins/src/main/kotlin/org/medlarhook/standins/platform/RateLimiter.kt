package org.medlarhook.standins.platform

/** A token bucket that holds one second's worth of [limitPerS]. */
internal class RateGate(
    private val limitPerS: Int,
) {
    private var tokens = limitPerS.toDouble()
    private var refilledAtNanos = 0L

    /** Takes [count] tokens; false if there are not enough at [nowNanos]. */
    @Synchronized
    fun tryTake(count: Int, nowNanos: Long): Boolean {
        val elapsedS = (nowNanos - refilledAtNanos) / NANOS_PER_S
        refilledAtNanos = nowNanos
        tokens = minOf(limitPerS.toDouble(), tokens + elapsedS * limitPerS)
        if (tokens < count) return false
        tokens -= count
        return true
    }

    private companion object {
        const val NANOS_PER_S = 1_000_000_000.0
    }
}
