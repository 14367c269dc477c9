package org.medlarhook.serving.upstream

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.LeavingUpstreams
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamClosings
import org.medlarhook.core.serving.limit.UpstreamLimits
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.ReportedLimit
import org.medlarhook.serving.call.ReportedRetryAfter
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.UpstreamHead
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

    /** Called with each upstream that has just announced that it leaves. */
    var onLeaving: (Upstream) -> Unit = {}

    /**
     * Records what [head], an answer of [upstream], says about new work.
     *
     * @param sentAtMs when the request that it answers was sent, or null if that is not known.
     */
    fun answered(upstream: Upstream, head: UpstreamHead, sentAtMs: Long?) {
        if (head.isMisdirected) return
        if (head.isLeaving && !isLeaving(upstream.incarnation)) {
            leaving = leaving.announced(upstream.incarnation, time.monotonicMs())
            log.upstreamLeaves(upstream)
            onLeaving(upstream)
        }
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

    /** A limit has ended if a request that was sent after it had been named is answered without it. */
    private fun noLimitNamed(upstream: Upstream, sentAtMs: Long?) {
        if (sentAtMs != null && limits.perS(upstream.incarnation) != null) limitSaid(upstream, null, sentAtMs)
    }

    private fun limitSaid(upstream: Upstream, perS: Double?, asOfMs: Long) {
        val beforePerS = limits.perS(upstream.incarnation)
        limits = limits.said(upstream.incarnation, perS, asOfMs)
        if (limits.perS(upstream.incarnation) != beforePerS) log.upstreamLimits(upstream, perS)
    }

    private fun rejected(upstream: Upstream, retryAfter: ReportedRetryAfter) {
        val seconds = retryAfter.seconds
        if (seconds == null) {
            if (sentMalformed.add(upstream.incarnation)) log.retryAfterMalformed(upstream, retryAfter.text)
            return
        }
        val nowMs = time.monotonicMs()
        val wasOpen = !isClosed(upstream.incarnation, nowMs)
        closings = closings.closed(upstream.incarnation, seconds, random.nextDouble(), nowMs)
        val opensInMs = closings.opensInMs(listOf(upstream), nowMs)
        if (wasOpen && opensInMs != null) log.upstreamCloses(upstream, retryAfter.text, opensInMs)
    }

    /** True if [upstream] may be sent a request now. */
    fun accepts(upstream: Upstream): Boolean =
        !isLeaving(upstream.incarnation) && !isClosed(upstream.incarnation, time.monotonicMs())

    /** True if [incarnation] has asked for no requests until after [atMs]. */
    fun isClosed(incarnation: Incarnation, atMs: Long): Boolean = closings.isClosed(incarnation, atMs)

    /** The time until the first of [upstreams] opens, or null if one of them is open or there are none. */
    fun opensInMs(upstreams: List<Upstream>, nowMs: Long): Long? = closings.opensInMs(upstreams, nowMs)

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
    }
}
