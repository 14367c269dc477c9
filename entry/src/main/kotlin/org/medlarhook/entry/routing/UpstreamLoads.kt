package org.medlarhook.entry.routing

import org.medlarhook.core.retry.OutlierEjection
import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.LoadEstimate
import org.medlarhook.core.routing.LoadReport
import org.medlarhook.core.routing.LoadTracker
import org.medlarhook.core.routing.UpstreamHealth
import org.medlarhook.core.routing.WorkTokens
import org.medlarhook.protocol.UpstreamLoad
import java.util.concurrent.atomic.AtomicReference

/** The work in flight, load reports and failures of each upstream, as recorded by this entry. Thread-safe. */
internal class UpstreamLoads(
    private val defaultSpeed: EngineSpeed,
) {
    private val tracker = AtomicReference(LoadTracker(defaultSpeed))
    private val ejection = AtomicReference(OutlierEjection())

    /** Counts an attempt that is sent. It counts as in flight until [InFlightWork.ended] is called on the result. */
    fun started(upstreamId: String, work: WorkTokens): InFlightWork {
        tracker.updateAndGet { it.started(upstreamId, work) }
        return InFlightWork(upstreamId, work)
    }

    /** Records a load report that arrived at [nowMs]. */
    fun reported(upstreamId: String, load: UpstreamLoad, nowMs: Long) {
        val speed = if (load.slots > 0 && load.decodeTokensPerS > 0) load.toSpeed() else defaultSpeed
        val queued = WorkTokens(load.queuedPrefillTokens, load.queuedDecodeTokens)
        val report = LoadReport(queued, load.running + load.queued, speed, nowMs)
        tracker.updateAndGet { it.reported(upstreamId, report) }
    }

    /** Records a successful attempt. */
    fun succeeded(upstreamId: String, nowMs: Long) {
        ejection.updateAndGet { it.succeeded(upstreamId, nowMs) }
    }

    /** Records a failed attempt at one of [fleetSize] upstreams. */
    fun failed(upstreamId: String, fleetSize: Int, nowMs: Long) {
        ejection.updateAndGet { it.failed(upstreamId, fleetSize, nowMs) }
    }

    /** Returns the estimated load of [upstreamId]. */
    fun estimate(upstreamId: String, nowMs: Long): LoadEstimate = tracker.get().estimate(upstreamId, nowMs)

    /** Returns whether [upstreamId] may be used, or is ejected or in its slow start. */
    fun health(upstreamId: String, nowMs: Long): UpstreamHealth = ejection.get().health(upstreamId, nowMs)

    /** Converts the reported decode speed, which is that of one slot, to the speed of all slots together. */
    private fun UpstreamLoad.toSpeed() = EngineSpeed(prefillTokensPerS, decodeTokensPerS * slots, slots)

    /** The work of one attempt. Not thread-safe: the events of an attempt are handled one at a time. */
    inner class InFlightWork(
        val upstreamId: String,
        private var remaining: WorkTokens,
    ) {
        /** Records that the prefill is done. */
        fun prefilled() {
            val done = WorkTokens(remaining.prefillTokens, 0)
            if (done.prefillTokens == 0L) return
            remaining -= done
            tracker.updateAndGet { it.progressed(upstreamId, done) }
        }

        /** Records that the attempt has ended. */
        fun ended() {
            tracker.updateAndGet { it.ended(upstreamId, remaining) }
        }
    }
}
