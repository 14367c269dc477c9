package org.medlarhook.core.fuzz

import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.core.membership.UpstreamReport
import org.medlarhook.core.membership.UpstreamView
import org.medlarhook.ports.ListedVm

/** The view under test and how reports are delivered to it. Broken variants replace one of them. */
data class UpstreamRules(
    val view: UpstreamView = UpstreamView(),
    val deliver: (
        UpstreamView,
        UpstreamReport,
        watchStartedAtMs: Long,
        nowMs: Long,
    ) -> UpstreamView = UpstreamView::withReport,
)

/** Simulates one entry's view of a few upstreams, whose reports and rows can be delayed, replayed or lost. */
class UpstreamSimulation(
    private val rules: UpstreamRules,
) {
    class Upstream(
        val id: String,
    ) {
        var incarnation = 1L
        var alive = true
        var draining = false
        var registered = true
        var listedAtMs: Long? = null
        var leftAtMs: Long? = null
        var healthySinceMs = 0L
        var link = Link.OPEN
        var watchMs = 0L
        var recorded: Pair<Long, UpstreamReport>? = null
        val inTransit = ArrayDeque<Pair<Long, UpstreamReport>>()

        fun resumedAt(nowMs: Long) {
            healthySinceMs = nowMs
            listedAtMs = listedAtMs?.let { nowMs }
        }

        fun left(nowMs: Long) {
            leftAtMs = leftAtMs ?: nowMs
            healthySinceMs = nowMs
        }

        fun leavingForMs(nowMs: Long): Long = listOfNotNull(leftAtMs, listedAtMs).minOrNull()?.let { nowMs - it } ?: 0

        fun row() = UpstreamRegistration(id, "vm-$id-$incarnation", "dc", "r", incarnation, id)

        fun report(nowMs: Long) = UpstreamReport(id, incarnation, nowMs + CLOCK_OFFSET_MS, accepting = true, draining)
    }

    enum class Link { OPEN, STALLED, CUT }

    var nowMs = 0L
    val upstreams = List(3) { Upstream("u$it") }
    var paused = false
    private var view = rules.view
    private var nextRowsMs = 0L
    private var recordedRows: Pair<Long, List<UpstreamRegistration>>? = null

    init {
        run(WARM_UP_MS)
    }

    /** Records the current rows and reports, for a late and repeated delivery by [replay]. */
    fun record() {
        recordedRows = nowMs to rows()
        upstreams.filter { it.alive }.forEach { it.recorded = it.watchMs to it.report(nowMs) }
    }

    fun replay() {
        recordedRows?.let { (atMs, rows) -> view = view.withRows(rows, atMs, nowMs) }
        upstreams.forEach { upstream -> upstream.recorded?.let { upstream.inTransit += it } }
        upstreams.forEach { deliverInTransit(it) }
    }

    fun drain(upstream: Upstream) {
        upstream.draining = true
        upstream.left(nowMs)
        if (upstream.alive) send(upstream)
    }

    fun kill(upstream: Upstream) {
        upstream.alive = false
        upstream.left(nowMs)
    }

    /** Lists the VM of [upstream] as leaving. The entry is affected only once it has read the list. */
    fun listAsLeaving(upstream: Upstream) {
        upstream.listedAtMs = nowMs
        upstream.healthySinceMs = nowMs
    }

    fun remove(upstream: Upstream) {
        drain(upstream)
        kill(upstream)
        upstream.registered = false
    }

    fun restart(upstream: Upstream) {
        if (upstream.alive) kill(upstream)
        upstream.incarnation++
        upstream.alive = true
        upstream.draining = false
        upstream.registered = true
        upstream.listedAtMs = null
        upstream.leftAtMs = null
        upstream.healthySinceMs = nowMs
        upstream.watchMs = 0
    }

    fun resume() {
        if (!paused) return
        paused = false
        upstreams.forEach { it.resumedAt(nowMs) }
        check()
        upstreams.forEach { deliverInTransit(it) }
    }

    fun link(upstream: Upstream, link: Link) {
        upstream.link = link
        upstream.healthySinceMs = nowMs
        if (link == Link.CUT) upstream.inTransit.clear()
        deliverInTransit(upstream)
    }

    fun run(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += TICK_MS
            if (!paused) updateView()
            if (nowMs % HEARTBEAT_MS == 0L) upstreams.filter { it.alive }.forEach { send(it) }
            upstreams.filter { paused || it.link != Link.OPEN || it.leavingForMs(nowMs) > 0 }.forEach {
                it.healthySinceMs = nowMs
            }
            check()
        }
    }

    private fun updateView() {
        if (nowMs >= nextRowsMs) {
            nextRowsMs = nowMs + ROWS_INTERVAL_MS
            view = view.withRows(rows(), nowMs, nowMs).withVms(vms(), nowMs)
        }
        val wanted = view.needingWatch(nowMs).map { it.registration.upstreamId }
        upstreams.filter { it.id in wanted && it.alive && it.link == Link.OPEN }.forEach { upstream ->
            upstream.inTransit.clear()
            upstream.watchMs = nowMs
            send(upstream)
        }
    }

    private fun rows() = upstreams.filter { it.registered }.map { it.row() }

    private fun vms() = upstreams.filter { it.registered }.map { ListedVm(it.row().vmId, "dc", it.listedAtMs != null) }

    private fun send(upstream: Upstream) {
        if (upstream.watchMs == 0L || upstream.link == Link.CUT) return
        upstream.inTransit += upstream.watchMs to upstream.report(nowMs)
        deliverInTransit(upstream)
    }

    private fun deliverInTransit(upstream: Upstream) {
        if (upstream.link != Link.OPEN || paused) return
        generateSequence { upstream.inTransit.removeFirstOrNull() }.forEach { (watchMs, report) ->
            view = rules.deliver(view, report, watchMs, nowMs)
            check()
        }
    }

    private fun check() {
        if (paused) return
        val eligible = view.eligible(nowMs).associateBy { it.registration.upstreamId }
        upstreams.forEach { upstream ->
            val routed = eligible[upstream.id]?.incarnation == upstream.incarnation
            val leavingForMs = upstream.leavingForMs(nowMs)
            if (routed && leavingForMs > LEAVE_LIMIT_MS) {
                throw AssertionError("${upstream.id} gets work $leavingForMs ms after leaving")
            }
            val healthy = nowMs - upstream.healthySinceMs > JOIN_LIMIT_MS
            if (healthy && !routed) throw AssertionError("${upstream.id} is healthy and gets no work at $nowMs ms")
        }
    }

    private companion object {
        const val CLOCK_OFFSET_MS = 123_456L
        const val TICK_MS = 100L
        const val HEARTBEAT_MS = 1_000L
        const val ROWS_INTERVAL_MS = 3_000L
        const val LEAVE_LIMIT_MS = 5_000L
        const val JOIN_LIMIT_MS = 5_000L
        const val WARM_UP_MS = 6_000L
    }
}
