package org.medlarhook.core.limit

/**
 * A token bucket that may go below zero by one request, so that a request larger than the bucket is delayed, not
 * refused for ever. What it lets through in any time T is at most rate x T + capacity + one request.
 *
 * @property balanceTokens what may be taken now; negative after a large request.
 */
public data class TokenBucket(
    val ratePerS: Double,
    val capacityTokens: Double,
    val balanceTokens: Double,
    val updatedAtMs: Long,
) {
    /** The bucket at [nowMs]. */
    public fun refilled(nowMs: Long): TokenBucket {
        val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
        val balance = balanceTokens + ratePerS * elapsedMs / MS_PER_S
        return copy(balanceTokens = minOf(balance, capacityTokens), updatedAtMs = maxOf(nowMs, updatedAtMs))
    }

    /** The bucket after [tokens] were taken, or null if nothing may be taken at [nowMs]. */
    public fun take(tokens: Long, nowMs: Long): TokenBucket? {
        val bucket = refilled(nowMs)
        if (bucket.balanceTokens <= 0) return null
        return bucket.copy(balanceTokens = bucket.balanceTokens - tokens)
    }

    /** Gives back [tokens] of an estimate that was too high, or charges more if negative. */
    public fun returned(tokens: Long): TokenBucket =
        copy(balanceTokens = minOf(balanceTokens + tokens, capacityTokens))

    /** The time until something may be taken. */
    public fun retryAfterMs(nowMs: Long): Long {
        val balance = refilled(nowMs).balanceTokens
        if (balance > 0) return 0
        if (ratePerS <= 0) return MAX_RETRY_AFTER_MS
        return (-balance * MS_PER_S / ratePerS).toLong().coerceAtMost(MAX_RETRY_AFTER_MS) + 1
    }

    /** Goes on with another rate and capacity. */
    public fun resized(ratePerS: Double, capacityTokens: Double, nowMs: Long): TokenBucket {
        val bucket = refilled(nowMs)
        return bucket.copy(
            ratePerS = ratePerS,
            capacityTokens = capacityTokens,
            balanceTokens = minOf(bucket.balanceTokens, capacityTokens),
        )
    }

    public companion object {
        private const val MS_PER_S = 1_000.0
        private const val MAX_RETRY_AFTER_MS = 60_000L

        /** A full bucket. */
        public fun full(ratePerS: Double, capacityTokens: Double, nowMs: Long): TokenBucket =
            TokenBucket(ratePerS, capacityTokens, capacityTokens, nowMs)
    }
}
