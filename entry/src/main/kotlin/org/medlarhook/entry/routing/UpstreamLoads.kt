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

/** What this entry has in flight at each upstream, what the upstreams report, and which of them fail. Thread-safe. */
internal class UpstreamLoads(
    private val defaultSpeed: EngineSpeed,
) {
    private val tracker = AtomicReference(LoadTracker(defaultSpeed))
    private val ejection = AtomicReference(OutlierEjection())

    /** Counts an attempt that is sent, until the returned work is ended. */
    fun started(upstreamId: String, work: WorkTokens): InFlightWork {
        tracker.updateAndGet { it.started(upstreamId, work) }
        return InFlightWork(upstreamId, work)
    }

    /** Takes in a report that came at [nowMs]. */
    fun reported(upstreamId: String, load: UpstreamLoad, nowMs: Long) {
        val speed = if (load.slots > 0 && load.decodeTokensPerS > 0) load.toSpeed() else defaultSpeed
        val queued = WorkTokens(load.queuedPrefillTokens, load.queuedDecodeTokens)
        val report = LoadReport(queued, load.running + load.queued, speed, nowMs)
        tracker.updateAndGet { it.reported(upstreamId, report) }
    }

    /** Records an answer. */
    fun succeeded(upstreamId: String, nowMs: Long) {
        ejection.updateAndGet { it.succeeded(upstreamId, nowMs) }
    }

    /** Records a failure of one of [fleetSize] upstreams. */
    fun failed(upstreamId: String, fleetSize: Int, nowMs: Long) {
        ejection.updateAndGet { it.failed(upstreamId, fleetSize, nowMs) }
    }

    /** The load of [upstreamId] as far as known. */
    fun estimate(upstreamId: String, nowMs: Long): LoadEstimate = tracker.get().estimate(upstreamId, nowMs)

    /** Whether [upstreamId] may be used. */
    fun health(upstreamId: String, nowMs: Long): UpstreamHealth = ejection.get().health(upstreamId, nowMs)

    /** The sidecar tells the speed of one stream. */
    private fun UpstreamLoad.toSpeed() = EngineSpeed(prefillTokensPerS, decodeTokensPerS * slots, slots)

    /** The work of one attempt. Not thread-safe; an attempt's events come one at a time. */
    inner class InFlightWork(
        val upstreamId: String,
        private var remaining: WorkTokens,
    ) {
        /** The prompt has been worked through. */
        fun prefilled() {
            val done = WorkTokens(remaining.prefillTokens, 0)
            if (done.prefillTokens == 0L) return
            remaining -= done
            tracker.updateAndGet { it.progressed(upstreamId, done) }
        }

        /** The attempt has ended. */
        fun ended() {
            tracker.updateAndGet { it.ended(upstreamId, remaining) }
        }
    }
}
