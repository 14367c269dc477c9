package org.medlarhook.entry

import org.medlarhook.core.serving.shutdown.ShutdownWindow
import org.medlarhook.entry.call.OpenRequests
import org.medlarhook.entry.http.DrainState
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.settings.ShutdownSettings

/** The first part of a graceful shutdown, until no request is open. */
internal class Shutdown(
    private val settings: ShutdownSettings,
    private val drainState: DrainState,
    private val openRequests: OpenRequests,
    private val time: TimeSource,
) {
    /**
     * Fails the readiness check, gives load balancers time to notice, refuses new requests and waits for open ones.
     * While load balancers may still send new requests, those whose deadlines lie within the drain are accepted.
     * Returns true if none is open at the end.
     */
    fun drain(): Boolean {
        val startedAtMs = time.monotonicMs()
        val endsAtMs = startedAtMs + settings.balancerWaitMs + settings.finishLimitMs
        drainState.reportNotReady(ShutdownWindow(startedAtMs, endsAtMs))
        Thread.sleep(settings.balancerWaitMs)
        drainState.refuseRequests()
        while (openRequests.count > 0 && time.monotonicMs() < endsAtMs) Thread.sleep(POLL_INTERVAL_MS)
        return openRequests.count == 0
    }

    private companion object {
        const val POLL_INTERVAL_MS = 20L
    }
}
