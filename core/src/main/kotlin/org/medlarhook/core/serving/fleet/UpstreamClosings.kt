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
 *
 * A closing belongs to whatever answers at the address. A registration may follow seconds after its upstream has begun
 * to answer there, so a closing also holds for a start that is registered later and had begun before the closing.
 */
public data class UpstreamClosings(
    private val closings: PersistentMap<Endpoint, Closing> = persistentMapOf(),
) {
    /**
     * An upstream's wish to get nothing until [untilMs] on the monotonic clock.
     *
     * @property registered the start that was registered at the address when the answer came.
     * @property answeredAtWallMs when that was, in Unix milliseconds like the starts of upstreams.
     */
    public data class Closing(
        val registered: Incarnation,
        val untilMs: Long,
        val answeredAtWallMs: Long,
    ) {
        internal fun holdsFor(upstream: Upstream): Boolean =
            upstream.incarnation == registered || upstream.startedAtMs <= answeredAtWallMs + CLOCK_MARGIN_MS
    }

    /** True if nothing may be sent to [upstream] at [nowMs]. */
    public fun isClosed(upstream: Upstream, nowMs: Long): Boolean = remainingMs(upstream, nowMs) > 0

    private fun remainingMs(upstream: Upstream, nowMs: Long): Long =
        closings[upstream.address]?.takeIf { it.holdsFor(upstream) }?.let { it.untilMs - nowMs } ?: 0

    /**
     * Records that [upstream] has answered at [nowMs], which is [nowWallMs] in Unix milliseconds, that it wants nothing
     * for [seconds].
     *
     * @param spread this process's random share of the greatest extra time, from 0 to 1.
     */
    public fun closed(
        upstream: Upstream,
        seconds: Double,
        spread: Double,
        nowMs: Long,
        nowWallMs: Long,
    ): UpstreamClosings {
        val closedMs = boundedMs(seconds)
        if (closedMs == 0L) return this
        val untilMs = nowMs + closedMs + (closedMs * MAX_SPREAD_SHARE * spread).toLong()
        val earlier = closings[upstream.address]?.takeIf { it.holdsFor(upstream) }
        val closing = Closing(upstream.incarnation, maxOf(untilMs, earlier?.untilMs ?: untilMs), nowWallMs)
        return UpstreamClosings(closings.put(upstream.address, closing))
    }

    /** The time until the first of [upstreams] opens, or null if one of them is open or there are none. */
    public fun opensInMs(upstreams: List<Upstream>, nowMs: Long): Long? =
        upstreams.minOfOrNull { remainingMs(it, nowMs) }?.takeIf { it > 0 }

    /** Drops the closings that are over at [nowMs]. */
    public fun prune(nowMs: Long): UpstreamClosings =
        if (closings.values.all { nowMs < it.untilMs }) {
            this
        } else {
            UpstreamClosings(closings.filterValues { nowMs < it.untilMs }.toPersistentMap())
        }

    public companion object {
        /** A longer time is taken for an error of the upstream, which must not lose its work for good. */
        public const val MAX_CLOSED_MS: Long = 300_000

        /** Clocks of processes and upstreams may differ by this; a closing that holds for too long costs little. */
        public const val CLOCK_MARGIN_MS: Long = 3_000

        /** Greatest extra time as a share of the time for which an upstream is closed. */
        private const val MAX_SPREAD_SHARE = 0.1
        private const val MS_PER_S = 1_000

        /** The time in milliseconds, rounded up, for which an upstream that asked for [seconds] is closed. */
        public fun boundedMs(seconds: Double): Long =
            if (seconds > 0) ceil(minOf(seconds * MS_PER_S, MAX_CLOSED_MS.toDouble())).toLong() else 0
    }
}
