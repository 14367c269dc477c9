package org.medlarhook.standins.platform

/** A token bucket that refills at [limitPerS] tokens per second and holds at most the tokens of one second. */
internal class RateLimiter(
    private val limitPerS: Int,
) {
    private var tokens = limitPerS.toDouble()
    private var refilledAtNanos = 0L

    /** Takes [count] tokens, or none and returns false if fewer are left at [nowNanos]. */
    @Synchronized
    fun tryAcquire(count: Int, nowNanos: Long): Boolean {
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
