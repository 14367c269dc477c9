package org.medlarhook.serving.upstream

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.LeavingUpstreams
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.UpstreamHead

/**
 * Holds what upstreams have said in their answers about the work that they want. Used on the event loop only.
 *
 * An answer with status 421 comes from another upstream that now has the address, and says nothing of this one.
 */
internal class UpstreamAvailability(
    private val time: TimeSource,
    private val log: RequestLog,
) {
    private var leaving = LeavingUpstreams()

    /** Called with each upstream that has just announced that it leaves. */
    var onLeaving: (Upstream) -> Unit = {}

    /** Records what [head], an answer of [upstream], says about new work. */
    fun answered(upstream: Upstream, head: UpstreamHead) {
        if (head.isMisdirected) return
        if (head.isLeaving && !isLeaving(upstream.incarnation)) {
            leaving = leaving.announced(upstream.incarnation, time.monotonicMs())
            log.upstreamLeaves(upstream)
            onLeaving(upstream)
        }
    }

    /** True if [upstream] may be sent a request now. */
    fun accepts(upstream: Upstream): Boolean = !isLeaving(upstream.incarnation)

    /** True if [incarnation] has announced that it leaves. */
    fun isLeaving(incarnation: Incarnation): Boolean = incarnation in leaving

    /** Drops what is known of upstreams that have not been in [registered] for some time. */
    fun prune(registered: Set<Incarnation>) {
        leaving = leaving.prune(registered, time.monotonicMs())
    }
}
