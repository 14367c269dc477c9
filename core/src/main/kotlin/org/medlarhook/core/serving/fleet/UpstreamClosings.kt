package org.medlarhook.core.serving.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlin.math.ceil

/**
 * Until when upstreams have asked this process to send them nothing.
 *
 * Designed for engines that close themselves for seconds in turn when they are overloaded: a request that reaches a
 * closed engine is rejected and has lost the round trip, and an engine that opens is closed again at once if all
 * processes return in the same moment. Each process therefore returns a random share of the time later, never earlier.
 * A closing holds for one incarnation only.
 */
public data class UpstreamClosings(
    private val opensAtMs: PersistentMap<Incarnation, Long> = persistentMapOf(),
) {
    /** True if nothing may be sent to [incarnation] at [nowMs]. */
    public fun isClosed(incarnation: Incarnation, nowMs: Long): Boolean =
        opensAtMs[incarnation]?.let { nowMs < it } == true

    /**
     * Records that [incarnation] has answered at [nowMs] that it wants nothing for [seconds].
     *
     * @param spread this process's random share of the greatest extra time, from 0 to 1.
     */
    public fun closed(incarnation: Incarnation, seconds: Double, spread: Double, nowMs: Long): UpstreamClosings {
        val closedMs = boundedMs(seconds)
        if (closedMs == 0L) return this
        val untilMs = nowMs + closedMs + (closedMs * MAX_SPREAD_SHARE * spread).toLong()
        return UpstreamClosings(opensAtMs.put(incarnation, maxOf(untilMs, opensAtMs[incarnation] ?: untilMs)))
    }

    /** The time until the first of [upstreams] opens, or null if one of them is open or there are none. */
    public fun opensInMs(upstreams: List<Upstream>, nowMs: Long): Long? =
        upstreams.minOfOrNull { (opensAtMs[it.incarnation] ?: nowMs) - nowMs }?.takeIf { it > 0 }

    /** Drops the closings that are over at [nowMs]. */
    public fun prune(nowMs: Long): UpstreamClosings =
        if (opensAtMs.values.all { nowMs < it }) {
            this
        } else {
            UpstreamClosings(opensAtMs.filterValues { nowMs < it }.toPersistentMap())
        }

    public companion object {
        /** A longer time is taken for an error of the upstream, which must not lose its work for good. */
        public const val MAX_CLOSED_MS: Long = 300_000

        /** Greatest extra time as a share of the time for which an upstream is closed. */
        private const val MAX_SPREAD_SHARE = 0.1
        private const val MS_PER_S = 1_000

        /** The time in milliseconds, rounded up, for which an upstream that asked for [seconds] is closed. */
        public fun boundedMs(seconds: Double): Long =
            if (seconds > 0) ceil(minOf(seconds * MS_PER_S, MAX_CLOSED_MS.toDouble())).toLong() else 0
    }
}
