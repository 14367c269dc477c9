package org.medlarhook.core.limit

/**
 * A token bucket whose balance may fall below zero by one request, so that a request larger than the capacity is
 * delayed and not refused for ever. In any time T it admits at most rate x T + capacity + one request.
 *
 * @property balanceTokens tokens available at [updatedAtMs]; negative after a request larger than the balance.
 */
public data class TokenBucket(
    val ratePerS: Double,
    val capacityTokens: Double,
    val balanceTokens: Double,
    val updatedAtMs: Long,
) {
    /** The bucket with the tokens added that accrued until [nowMs]. */
    public fun refilled(nowMs: Long): TokenBucket {
        val elapsedMs = (nowMs - updatedAtMs).coerceAtLeast(0)
        val balance = balanceTokens + ratePerS * elapsedMs / MS_PER_S
        return copy(balanceTokens = minOf(balance, capacityTokens), updatedAtMs = maxOf(nowMs, updatedAtMs))
    }

    /** The bucket after consuming [tokens], or null if the balance at [nowMs] is not above zero. */
    public fun tryConsume(tokens: Long, nowMs: Long): TokenBucket? {
        val bucket = refilled(nowMs)
        if (bucket.balanceTokens <= 0) return null
        return bucket.copy(balanceTokens = bucket.balanceTokens - tokens)
    }

    /** Refunds [tokens] by which an estimate was too high; a negative number charges more. */
    public fun refunded(tokens: Long): TokenBucket =
        copy(balanceTokens = minOf(balanceTokens + tokens, capacityTokens))

    /** The time until the balance is above zero, at most [MAX_RETRY_AFTER_MS] + 1 ms; 0 if it is above zero now. */
    public fun retryAfterMs(nowMs: Long): Long {
        val balance = refilled(nowMs).balanceTokens
        if (balance > 0) return 0
        if (ratePerS <= 0) return MAX_RETRY_AFTER_MS
        return (-balance * MS_PER_S / ratePerS).toLong().coerceAtMost(MAX_RETRY_AFTER_MS) + 1
    }

    /** The bucket with a new rate and capacity from [nowMs] on; a balance above the new capacity is cut to it. */
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
