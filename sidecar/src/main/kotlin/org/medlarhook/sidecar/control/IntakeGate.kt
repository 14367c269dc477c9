package org.medlarhook.sidecar.control

import org.medlarhook.ports.TimeSource
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState

/** Closes the intake of new work, for a drain by order or while the engine changes. */
internal class IntakeGate(
    private val state: UpstreamState,
    private val setAvailable: (Boolean) -> Unit,
    private val running: () -> Int,
    private val publisher: StatusPublisher,
    private val time: TimeSource,
) {
    /** Takes no new work until [open]; running work goes on. */
    fun close() {
        state.isClosedByOrder = true
        setAvailable(false)
        publisher.publish()
    }

    /** Takes new work again. */
    fun open() {
        state.isClosedByOrder = false
        setAvailable(state.isHealthy)
        publisher.publish()
    }

    /** Waits until no work runs; false if some still runs after [limitMs]. */
    fun awaitIdle(limitMs: Long): Boolean {
        val endMs = time.monotonicMs() + limitMs
        while (running() > 0) {
            if (time.monotonicMs() >= endMs) return false
            Thread.sleep(POLL_MS)
        }
        return true
    }

    private companion object {
        const val POLL_MS = 20L
    }
}
