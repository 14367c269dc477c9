package org.medlarhook.entry

import org.medlarhook.entry.call.OpenRequests
import org.medlarhook.entry.http.DrainState
import org.medlarhook.runtime.settings.ShutdownSettings

/** The first part of a graceful shutdown, until no request is open. */
internal class Shutdown(
    private val settings: ShutdownSettings,
    private val drainState: DrainState,
    private val openRequests: OpenRequests,
) {
    /**
     * Fails the readiness check, gives load balancers time to notice, refuses new requests and waits for open ones.
     * Returns true if none is open at the end.
     */
    fun drain(): Boolean {
        drainState.reportNotReady()
        Thread.sleep(settings.balancerWaitMs)
        drainState.refuseRequests()
        val deadlineNanos = System.nanoTime() + settings.finishLimitMs * NANOS_PER_MS
        while (openRequests.count > 0 && System.nanoTime() < deadlineNanos) Thread.sleep(POLL_INTERVAL_MS)
        return openRequests.count == 0
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val POLL_INTERVAL_MS = 20L
    }
}
