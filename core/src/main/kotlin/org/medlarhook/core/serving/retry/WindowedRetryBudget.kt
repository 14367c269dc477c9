package org.medlarhook.core.serving.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Limits the retries of one service in any window, by this process's own requests and its share of the slack.
 *
 * Every process keeps to its own limit, so that all processes together stay within the common limit without
 * communicating.
 *
 * @property ratio retries allowed per request of the window.
 * @property slack this process's share of the retries that are allowed in a window in addition.
 */
public data class WindowedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMs: Long,
    private val buckets: PersistentMap<Long, Counts> = persistentMapOf(),
) {
    /** Counts a caller's request at [nowMs]. */
    public fun requested(nowMs: Long): WindowedRetryBudget = counted(nowMs) { it.copy(requests = it.requests + 1) }

    /** Takes one retry at [nowMs] out of the budget; returns null if none is left. */
    public fun withdraw(nowMs: Long): WindowedRetryBudget? =
        if (hasLeft(nowMs)) counted(nowMs) { it.copy(retries = it.retries + 1) } else null

    /** True if the budget has a retry left at [nowMs] beside [reservedShare] of it. */
    public fun hasLeft(nowMs: Long, reservedShare: Double = 0.0): Boolean {
        val recent = recent(nowMs)
        val requests = recent.entries.sumOf { (bucket, counts) ->
            if (isInWindow(bucket, nowMs)) counts.requests else 0
        }
        return recent.values.sumOf { it.retries } + 1 <= (requests * ratio + slack) * (1 - reservedShare)
    }

    /** Returns a retry that was withdrawn at [withdrawnAtMs] and not sent. */
    public fun returned(withdrawnAtMs: Long): WindowedRetryBudget {
        val bucket = bucketOf(withdrawnAtMs)
        val counts = buckets[bucket] ?: return this
        return copy(buckets = buckets.put(bucket, counts.copy(retries = (counts.retries - 1).coerceAtLeast(0))))
    }

    /** Changes the ratio and this process's share of the slack. */
    public fun withLimits(ratio: Double, slack: Double): WindowedRetryBudget = copy(ratio = ratio, slack = slack)

    private fun counted(nowMs: Long, change: (Counts) -> Counts): WindowedRetryBudget {
        val bucket = bucketOf(nowMs)
        val kept = if (bucket in buckets) buckets else recent(nowMs)
        return copy(buckets = kept.put(bucket, change(kept[bucket] ?: Counts())))
    }

    private fun recent(nowMs: Long): PersistentMap<Long, Counts> {
        val oldest = bucketOf(nowMs) - BUCKETS_PER_WINDOW
        val expired = buckets.keys.filter { it < oldest }
        return expired.fold(buckets) { kept, bucket -> kept.remove(bucket) }
    }

    /** True if all of [bucket] lies in the window that ends at [nowMs]. */
    private fun isInWindow(bucket: Long, nowMs: Long): Boolean = bucket > bucketOf(nowMs) - BUCKETS_PER_WINDOW

    private fun bucketOf(nowMs: Long): Long = Math.floorDiv(nowMs, windowMs / BUCKETS_PER_WINDOW)

    /** Requests and retries in one bucket of the window. */
    public data class Counts(
        val requests: Int = 0,
        val retries: Int = 0,
    )

    private companion object {
        /**
         * Buckets into which a window is divided. One bucket more than a window is kept, because the oldest one lies
         * partly in the window: its retries count, its requests allow none.
         */
        const val BUCKETS_PER_WINDOW = 20L
    }
}
