package org.medlarhook.core.limit

/**
 * The limits of one workspace at one entry: its share of the token rate and of the concurrent requests.
 *
 * Over all entries and any time T, at most limit x (T + burst) tokens are admitted, plus one request per entry.
 * At most max(limit, number of entries) requests run at once, because each entry may run at least one.
 *
 * @param bucket limits the token rate; null if the rate is unlimited.
 * @param maxConcurrent the most requests that run at once at this entry; null if unlimited.
 * @param burstMs the capacity of the bucket as the time in which it accrues.
 * @property inFlight requests that have started and not ended.
 */
public data class WorkspaceLimiter(
    private val bucket: TokenBucket?,
    private val maxConcurrent: Int?,
    private val burstMs: Long = DEFAULT_BURST_MS,
    val inFlight: Int = 0,
) {
    /** Starts a request estimated at [tokens] if both limits allow it. */
    public fun tryStart(tokens: Long, nowMs: Long): LimitDecision {
        if (maxConcurrent != null && inFlight >= maxConcurrent) return LimitDecision.Limited(CONCURRENCY_RETRY_MS)
        val charged =
            bucket?.let { it.tryConsume(tokens, nowMs) ?: return LimitDecision.Limited(it.retryAfterMs(nowMs)) }
        return LimitDecision.Passed(copy(bucket = charged, inFlight = inFlight + 1))
    }

    /** Records the end of a request and refunds the [unusedTokens] of its estimate; negative if it used more. */
    public fun ended(unusedTokens: Long): WorkspaceLimiter =
        copy(bucket = bucket?.refunded(unusedTokens), inFlight = (inFlight - 1).coerceAtLeast(0))

    /** The limiter with a new share of the token rate from [nowMs] on. */
    public fun withShare(sharePerS: Double, nowMs: Long): WorkspaceLimiter =
        copy(bucket = bucket?.resized(sharePerS, capacityTokens(sharePerS, burstMs), nowMs))

    public companion object {
        private const val CONCURRENCY_RETRY_MS = 1_000L
        private const val DEFAULT_BURST_MS = 2_000L
        private const val MS_PER_S = 1_000.0

        private fun capacityTokens(sharePerS: Double, burstMs: Long): Double = sharePerS * burstMs / MS_PER_S

        /**
         * The initial limiter at one of [entryCount] entries.
         *
         * @param sharePerS the entry's share of the token rate per second; null if the rate is unlimited.
         * @param maxConcurrent the limit over all entries, divided equally among them; null if unlimited.
         */
        public fun of(
            sharePerS: Double?,
            maxConcurrent: Int?,
            entryCount: Int,
            nowMs: Long,
        ): WorkspaceLimiter =
            WorkspaceLimiter(
                bucket = sharePerS?.let { TokenBucket.full(it, capacityTokens(it, DEFAULT_BURST_MS), nowMs) },
                maxConcurrent = maxConcurrent?.let { (it / entryCount).coerceAtLeast(1) },
            )
    }
}
