package org.medlarhook.core.serving.second

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Limits the work of second attempts to a share of the work that a service does for all requests of this process.
 *
 * Work is the time that an upstream is predicted to spend: prefill and decode of a generation, or the run of a plain
 * call. A second attempt is charged in full, although the attempt that loses is abandoned early. Each process keeps to
 * the share by itself, so that all processes together keep to it.
 */
public data class ExtraWork(
    private val buckets: PersistentMap<Long, Bucket> = persistentMapOf(),
) {
    /** Work in one part of the window, in milliseconds. */
    public data class Bucket(
        val doneMs: Double = 0.0,
        val extraMs: Double = 0.0,
    )

    /** Counts [workMs] for a request, at [nowMs]. */
    public fun done(workMs: Double, nowMs: Long): ExtraWork = changed(nowMs) { it.copy(doneMs = it.doneMs + workMs) }

    /**
     * Counts a second attempt of [workMs] at [nowMs], or returns null if the extra work of the window that ends then
     * would exceed [share] of the work done in it.
     */
    public fun withdraw(workMs: Double, share: Double, nowMs: Long): ExtraWork? {
        val kept = recent(nowMs)
        val doneMs = kept.entries.sumOf { (number, bucket) -> if (number > oldest(nowMs)) bucket.doneMs else 0.0 }
        val extraMs = kept.values.sumOf { it.extraMs } + workMs
        return if (extraMs > share * doneMs) null else changed(nowMs) { it.copy(extraMs = it.extraMs + workMs) }
    }

    private fun changed(nowMs: Long, change: (Bucket) -> Bucket): ExtraWork {
        val number = numberOf(nowMs)
        val kept = if (number in buckets) buckets else recent(nowMs)
        return ExtraWork(kept.put(number, change(kept[number] ?: Bucket())))
    }

    /** The oldest bucket lies partly in the window: its extra work counts, its work done does not. */
    private fun recent(nowMs: Long): PersistentMap<Long, Bucket> =
        buckets.keys.filter { it < oldest(nowMs) }.fold(buckets) { kept, number -> kept.remove(number) }

    private fun oldest(nowMs: Long): Long = numberOf(nowMs) - BUCKETS_PER_WINDOW

    private fun numberOf(atMs: Long): Long = Math.floorDiv(atMs, WINDOW_MS / BUCKETS_PER_WINDOW)

    public companion object {
        /** The window in which work is compared. */
        public const val WINDOW_MS: Long = 10_000
        private const val BUCKETS_PER_WINDOW = 20L
    }
}
