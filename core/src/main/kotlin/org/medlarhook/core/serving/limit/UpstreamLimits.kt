package org.medlarhook.core.serving.limit

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.medlarhook.core.serving.fleet.Incarnation

/**
 * How many requests upstreams take from all processes together, as they have said in their answers, and when this
 * process may send its share of them.
 *
 * Designed for engines in need that name a limit far below their usual load and are still preferred: they answer
 * quickly and hold the prefixes of sessions, and each process sees only its own requests. A process may send one
 * request at each of its turns in a [TurnSchedule]. A turn that is not used within [VALID_MS] is lost, so that
 * processes can't save up turns and use them together.
 *
 * A limit holds for one incarnation only. All times are on the monotonic clock.
 */
public data class UpstreamLimits(
    private val limits: PersistentMap<Incarnation, Limit> = persistentMapOf(),
    private val share: ProcessShare? = null,
) {
    /**
     * What one upstream has said.
     *
     * @property perS requests a second, or null if it does not limit them any more.
     * @property asOfMs when it was so.
     * @property usedUntilMs the latest turn that was used, or when the limit was named.
     */
    public data class Limit(
        val perS: Double?,
        val asOfMs: Long,
        val usedUntilMs: Long,
    )

    /** The limit of [incarnation] in requests a second, or null if it has none. */
    public fun perS(incarnation: Incarnation): Double? = limits[incarnation]?.perS

    /**
     * Records that [incarnation] limits its requests to [perS] a second, or to none if null, as of [asOfMs]. Of two
     * statements the later one holds, in whichever order they are recorded.
     */
    public fun said(incarnation: Incarnation, perS: Double?, asOfMs: Long): UpstreamLimits {
        val known = limits[incarnation]
        val isNews = if (known == null) perS != null else asOfMs > known.asOfMs
        if (!isNews) return this
        val usedUntilMs = known?.takeIf { it.perS != null }?.usedUntilMs ?: asOfMs
        return copy(limits = limits.put(incarnation, Limit(perS, asOfMs, usedUntilMs)))
    }

    /** Sets this process's share of all limits; null while it has none, in which case it sends nothing. */
    public fun withShare(share: ProcessShare?): UpstreamLimits = copy(share = share)

    /**
     * The times from which this process may send one request each to [incarnation], in order and without end. One that
     * is not later than [nowMs] stands for a request that may be sent now.
     */
    public fun openings(incarnation: Incarnation, nowMs: Long): Sequence<Long> {
        val limit = limits[incarnation]
        val perS = limit?.perS ?: return generateSequence(nowMs) { it }
        val current = share ?: return generateSequence(nowMs + WITHOUT_SHARE_MS) { it }
        val schedule = scheduleOf(incarnation, perS, current, nowMs)
        val afterMs = maxOf(limit.usedUntilMs, nowMs - VALID_MS)
        return generateSequence(schedule.firstAfter(afterMs + current.clockOffsetMs)) { schedule.firstAfter(it) }
            .map { it - current.clockOffsetMs }
    }

    /** Uses one turn to send a request to [incarnation] at [nowMs]; returns null if there is none. */
    public fun withdraw(incarnation: Incarnation, nowMs: Long): UpstreamLimits? {
        val limit = limits[incarnation]?.takeIf { it.perS != null } ?: return this
        val turnMs = openings(incarnation, nowMs).first()
        if (turnMs > nowMs) return null
        return copy(limits = limits.put(incarnation, limit.copy(usedUntilMs = turnMs)))
    }

    /** Drops what upstreams that are not in [registered] have said. */
    public fun prune(registered: Set<Incarnation>): UpstreamLimits =
        if (limits.keys.all { it in registered }) {
            this
        } else {
            copy(limits = limits.filterKeys { it in registered }.toPersistentMap())
        }

    private fun scheduleOf(incarnation: Incarnation, perS: Double, share: ProcessShare, nowMs: Long): TurnSchedule {
        val boundedPerS = perS.coerceIn(MIN_PER_S, MAX_PER_S)
        val usedPerS = if (nowMs <= share.freshUntilMs) boundedPerS else boundedPerS * STALE_SHARE
        val place = Math.floorMod(share.rank + incarnation.hashCode(), share.processes)
        return TurnSchedule(usedPerS, place, share.processes)
    }

    public companion object {
        /** How long a turn can be used. */
        public const val VALID_MS: Long = 1_000

        /** A smaller limit is taken for this one, because only an answer can tell that a limit has ended. */
        public const val MIN_PER_S: Double = 0.25

        /** More than one process sends to one upstream; keeps the turns apart in floating point. */
        private const val MAX_PER_S = 100_000.0

        /** Part of its share that a process uses while the others may have divided it among themselves. */
        private const val STALE_SHARE = 0.25

        /** Stands for the unknown time until a process has a share; longer than any request waits. */
        private const val WITHOUT_SHARE_MS = 60_000L
    }
}
