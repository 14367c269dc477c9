package org.medlarhook.core.serving.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Bounds the repeats of one service in any window, from this process's own requests and its share of the slack.
 *
 * Every process keeps to its own share, so that the sum over all processes stays under the common bound without a
 * call between them.
 *
 * @property ratio repeats for each request of the window.
 * @property slack repeats in a window besides: this process's share.
 */
public data class WindowedRetryBudget(
    private val ratio: Double,
    private val slack: Double,
    private val windowMs: Long,
    private val buckets: PersistentMap<Long, Counts> = persistentMapOf(),
) {
    /** Counts a request of a caller at [nowMs]. */
    public fun requested(nowMs: Long): WindowedRetryBudget = counted(nowMs) { it.copy(requests = it.requests + 1) }

    /** Takes one repeat at [nowMs], or returns null if none is left. */
    public fun withdraw(nowMs: Long): WindowedRetryBudget? {
        val recent = recent(nowMs)
        val requests = recent.values.sumOf { it.requests }
        val repeats = recent.values.sumOf { it.repeats }
        if (repeats + 1 > requests * ratio + slack) return null
        return counted(nowMs) { it.copy(repeats = it.repeats + 1) }
    }

    /** Changes the ratio and this process's share of the slack. */
    public fun withLimits(ratio: Double, slack: Double): WindowedRetryBudget = copy(ratio = ratio, slack = slack)

    private fun counted(nowMs: Long, change: (Counts) -> Counts): WindowedRetryBudget {
        val bucket = bucketOf(nowMs)
        val kept = if (bucket in buckets) buckets else recent(nowMs)
        return copy(buckets = kept.put(bucket, change(kept[bucket] ?: Counts())))
    }

    private fun recent(nowMs: Long): PersistentMap<Long, Counts> {
        val oldest = bucketOf(nowMs) - BUCKETS
        val expired = buckets.keys.filter { it < oldest }
        return expired.fold(buckets) { kept, bucket -> kept.remove(bucket) }
    }

    private fun bucketOf(nowMs: Long): Long = Math.floorDiv(nowMs, windowMs / BUCKETS)

    /** What was counted in one part of the window. */
    public data class Counts(
        val requests: Int = 0,
        val repeats: Int = 0,
    )

    private companion object {
        /** Parts of a window that are counted apart; one more than the window is kept, on the safe side. */
        const val BUCKETS = 20L
    }
}
