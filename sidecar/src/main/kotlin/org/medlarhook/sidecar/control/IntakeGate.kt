package org.medlarhook.sidecar.control

import org.medlarhook.ports.TimeSource
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState

/** Stops the intake of new attempts during a drain order or while an order changes the engine. */
internal class IntakeGate(
    private val state: UpstreamState,
    private val setAvailable: (Boolean) -> Unit,
    private val runningAttempts: () -> Int,
    private val publisher: StatusPublisher,
    private val time: TimeSource,
) {
    /** Starts no new attempts until [open]; running attempts continue. */
    fun close() {
        state.isClosedByOrder = true
        setAvailable(false)
        publisher.publish()
    }

    /** Starts new attempts again, provided that the upstream is healthy. */
    fun open() {
        state.isClosedByOrder = false
        setAvailable(state.isHealthy)
        publisher.publish()
    }

    /** Waits until no attempt runs; false if some still run after [timeoutMs]. */
    fun awaitIdle(timeoutMs: Long): Boolean {
        val endMs = time.monotonicMs() + timeoutMs
        while (runningAttempts() > 0) {
            if (time.monotonicMs() >= endMs) return false
            Thread.sleep(POLL_INTERVAL_MS)
        }
        return true
    }

    private companion object {
        const val POLL_INTERVAL_MS = 20L
    }
}
