package org.medlarhook.core.limit

/**
 * One workspace's limits at one entry: its share of the token rate and of the concurrent requests.
 *
 * Over all entries and any time T, at most limit x (T + burst) tokens pass, and one request of each entry on top.
 * At most max(limit, number of entries) requests run at once, as each entry may run at least one.
 */
public data class WorkspaceLimiter(
    private val bucket: TokenBucket?,
    private val maxConcurrent: Int?,
    private val burstMs: Long = DEFAULT_BURST_MS,
    val inFlight: Int = 0,
) {
    /** Asks to let a request of [tokens] pass. */
    public fun tryStart(tokens: Long, nowMs: Long): LimitDecision {
        if (maxConcurrent != null && inFlight >= maxConcurrent) return LimitDecision.Limited(BUSY_RETRY_AFTER_MS)
        val after = bucket?.let { it.take(tokens, nowMs) ?: return LimitDecision.Limited(it.retryAfterMs(nowMs)) }
        return LimitDecision.Passed(copy(bucket = after, inFlight = inFlight + 1))
    }

    /** Records the end of a request whose estimate was [unusedTokens] too high. */
    public fun ended(unusedTokens: Long): WorkspaceLimiter =
        copy(bucket = bucket?.returned(unusedTokens), inFlight = (inFlight - 1).coerceAtLeast(0))

    /** Goes on with another share of the rate. */
    public fun withShare(sharePerS: Double, nowMs: Long): WorkspaceLimiter =
        copy(bucket = bucket?.resized(sharePerS, capacityTokens(sharePerS, burstMs), nowMs))

    public companion object {
        private const val BUSY_RETRY_AFTER_MS = 1_000L
        private const val DEFAULT_BURST_MS = 2_000L
        private const val MS_PER_S = 1_000.0

        private fun capacityTokens(sharePerS: Double, burstMs: Long): Double = sharePerS * burstMs / MS_PER_S

        /** The limits at one of [entryCount] entries; null stands for no limit. */
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
