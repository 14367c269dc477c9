package org.medlarhook.entry

import org.medlarhook.entry.call.OpenRequests
import org.medlarhook.entry.http.Gate
import org.medlarhook.runtime.settings.ShutdownSettings

/** The order of a graceful shutdown up to the point where no request is open. */
internal class Shutdown(
    private val settings: ShutdownSettings,
    private val gate: Gate,
    private val openRequests: OpenRequests,
) {
    /** Leaves the balancer, refuses new work, and waits for open requests; true if none is left. */
    fun drain(): Boolean {
        gate.leave()
        Thread.sleep(settings.balancerWaitMs)
        gate.close()
        val limitNanos = System.nanoTime() + settings.finishLimitMs * NANOS_PER_MS
        while (openRequests.count > 0 && System.nanoTime() < limitNanos) Thread.sleep(POLL_MS)
        return openRequests.count == 0
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
        const val POLL_MS = 20L
    }
}
