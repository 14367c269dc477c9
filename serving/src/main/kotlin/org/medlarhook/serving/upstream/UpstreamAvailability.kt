package org.medlarhook.serving.upstream

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.LeavingUpstreams
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamClosings
import org.medlarhook.core.serving.limit.ProcessShare
import org.medlarhook.core.serving.limit.TurnQueue
import org.medlarhook.core.serving.limit.UpstreamLimits
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.ReportedLimit
import org.medlarhook.serving.call.ReportedRetryAfter
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.UpstreamHead
import org.medlarhook.serving.peer.LimitPeers
import org.medlarhook.serving.peer.LimitReport
import kotlin.random.Random

/**
 * Holds what upstreams have said in their answers about the work that they want. Used on the event loop only.
 *
 * An answer with status 421 comes from another upstream that now has the address, and says nothing of this one.
 */
internal class UpstreamAvailability(
    private val time: TimeSource,
    private val random: Random,
    private val log: RequestLog,
) {
    private var leaving = LeavingUpstreams()
    private var closings = UpstreamClosings()
    private var limits = UpstreamLimits()
    private val sentMalformed = HashSet<Incarnation>()
    private val namedMalformed = HashSet<Incarnation>()
    private val announcedAtMs = HashMap<Incarnation, Long>()

    /** Called with each upstream that has just announced that it leaves. */
    var onLeaving: (Upstream) -> Unit = {}

    /** The other processes, which are told of limits. */
    var peers = LimitPeers {}

    /** The clock on which all processes agree minus the monotonic clock, or null until it is known. */
    var sharedClockOffsetMs: () -> Long? = { null }

    /** This process's share of the limits of upstreams, or null while it has none. */
    var share: ProcessShare? = null
        set(value) {
            field = value
            limits = limits.withShare(value)
        }

    /**
     * Records what [head], an answer of [upstream], says about new work.
     *
     * An extra answer may say what was true earlier. Only that the upstream leaves is still true then; a rest may be
     * over and a limit may have changed.
     *
     * @param sentAtMs when the request that it answers was sent, or null for an extra answer.
     */
    fun answered(upstream: Upstream, head: UpstreamHead, sentAtMs: Long?) {
        if (head.isMisdirected) return
        head.load?.takeIf { it.counts == null }?.let { log.loadMalformed(upstream, it.text, time.monotonicMs()) }
        if (head.isLeaving && !isLeaving(upstream.incarnation)) {
            leaving = leaving.announced(upstream.incarnation, time.monotonicMs())
            log.upstreamLeaves(upstream)
            onLeaving(upstream)
        }
        if (sentAtMs == null) return
        head.retryAfter?.let { rejected(upstream, it) }
        val limit = head.limit
        if (limit != null) {
            limitNamed(upstream, limit)
        } else if (head.isStamped) {
            noLimitNamed(upstream, sentAtMs)
        }
    }

    private fun limitNamed(upstream: Upstream, limit: ReportedLimit) {
        val perS = limit.perS
        if (perS == null) {
            if (namedMalformed.add(upstream.incarnation)) log.limitMalformed(upstream, limit.text)
        } else {
            limitSaid(upstream, perS, time.monotonicMs())
        }
    }

    /** Records the limit of [upstream] that another process has told of. */
    fun reported(upstream: Upstream, report: LimitReport) {
        val offsetMs = sharedClockOffsetMs() ?: return
        val beforePerS = limits.perS(upstream.incarnation)
        val asOfMs = minOf(report.asOfMs - offsetMs, time.monotonicMs())
        limits = limits.said(upstream.incarnation, report.perS, asOfMs)
        val perS = limits.perS(upstream.incarnation)
        if (perS != beforePerS &&
            mayAnnounce(upstream, beforePerS, perS)
        ) {
            log.upstreamLimits(upstream, perS, share, "peer")
        }
    }

    /** A limit has ended if a request that was sent after it had been named is answered without it. */
    private fun noLimitNamed(upstream: Upstream, sentAtMs: Long) {
        if (limits.perS(upstream.incarnation) != null) limitSaid(upstream, null, sentAtMs)
    }

    private fun limitSaid(upstream: Upstream, perS: Double?, asOfMs: Long) {
        val beforePerS = limits.perS(upstream.incarnation)
        limits = limits.said(upstream.incarnation, perS, asOfMs)
        val isNews = limits.perS(upstream.incarnation) != beforePerS
        if (!isNews || !mayAnnounce(upstream, beforePerS, perS)) return
        log.upstreamLimits(upstream, perS, share, "answer")
        val offsetMs = sharedClockOffsetMs() ?: return
        peers.tell(LimitReport(upstream.id, upstream.startedAtMs, perS, asOfMs + offsetMs))
    }

    /** A limit that begins or ends is announced at once, one that changes once in [ANNOUNCE_INTERVAL_MS]. */
    private fun mayAnnounce(upstream: Upstream, beforePerS: Double?, perS: Double?): Boolean {
        val nowMs = time.monotonicMs()
        val lastMs = announcedAtMs[upstream.incarnation]
        val isDue = lastMs == null || nowMs - lastMs >= ANNOUNCE_INTERVAL_MS
        if (!isDue && beforePerS != null && perS != null) return false
        announcedAtMs[upstream.incarnation] = nowMs
        return true
    }

    private fun rejected(upstream: Upstream, retryAfter: ReportedRetryAfter) {
        val seconds = retryAfter.seconds
        if (seconds == null) {
            if (sentMalformed.add(upstream.incarnation)) log.retryAfterMalformed(upstream, retryAfter.text)
            return
        }
        val nowMs = time.monotonicMs()
        val wasOpen = !closings.isClosed(upstream, nowMs)
        closings = closings.closed(upstream, seconds, random.nextDouble(), nowMs, time.wallMs())
        val opensInMs = closings.opensInMs(listOf(upstream), nowMs)
        if (wasOpen && opensInMs != null) log.upstreamCloses(upstream, retryAfter.text, opensInMs)
    }

    /** True if [upstream] neither leaves nor is closed; a limit is not asked for. */
    fun accepts(upstream: Upstream): Boolean =
        !isLeaving(upstream.incarnation) && !closings.isClosed(upstream, time.monotonicMs())

    /** True if [incarnation] takes only some requests, of which this process may send a share. */
    fun isLimited(incarnation: Incarnation): Boolean = limits.perS(incarnation) != null

    /** The limit of [incarnation] in requests a second, or null if it has none. */
    fun limitPerS(incarnation: Incarnation): Double? = limits.perS(incarnation)

    /** Takes this process's turn at [incarnation] for one request; returns false if it has none now. */
    fun withdrawTurn(incarnation: Incarnation): Boolean {
        limits = limits.withdraw(incarnation, time.monotonicMs()) ?: return false
        return true
    }

    /**
     * The time until a request behind [ahead] others may be sent to one of [upstreams], or null if it may be sent now
     * or there are none.
     */
    fun opensInMs(upstreams: List<Upstream>, ahead: Int, nowMs: Long): Long? {
        if (upstreams.any { isOpenAndUnlimited(it, nowMs) }) return null
        val openings = upstreams.map { upstream ->
            val opensAtMs = nowMs + (closings.opensInMs(listOf(upstream), nowMs) ?: 0)
            limits.openings(upstream.incarnation, nowMs).map { maxOf(it, opensAtMs) }
        }
        return TurnQueue.openingOf(openings, ahead)?.let { it - nowMs }?.takeIf { it > 0 }
    }

    private fun isOpenAndUnlimited(upstream: Upstream, nowMs: Long): Boolean =
        !closings.isClosed(upstream, nowMs) && !isLimited(upstream.incarnation)

    /** True if [incarnation] has announced that it leaves. */
    fun isLeaving(incarnation: Incarnation): Boolean = incarnation in leaving

    /** Drops what is known of upstreams that have not been in [registered] for some time. */
    fun prune(registered: Set<Incarnation>) {
        val nowMs = time.monotonicMs()
        leaving = leaving.prune(registered, nowMs)
        closings = closings.prune(nowMs)
        limits = limits.prune(registered)
        sentMalformed.retainAll(registered)
        namedMalformed.retainAll(registered)
        announcedAtMs.keys.retainAll(registered)
    }

    private companion object {
        const val ANNOUNCE_INTERVAL_MS = 1_000L
    }
}
