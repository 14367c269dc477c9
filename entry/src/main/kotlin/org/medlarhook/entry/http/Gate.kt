package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** Whether the entry takes requests: first it tells the balancer to stay away, later it refuses. */
internal class Gate(
    private val isInformed: () -> Boolean,
) {
    private enum class Phase { OPEN, LEAVING, CLOSED }

    @Volatile
    private var phase = Phase.OPEN

    /** What `/readyz` says. */
    val isReady: Boolean
        get() = phase == Phase.OPEN && isInformed()

    /** Makes `/readyz` fail; requests are still taken. */
    fun leave() {
        phase = Phase.LEAVING
    }

    /** Refuses new requests. */
    fun close() {
        phase = Phase.CLOSED
    }

    /** Why a new request is refused, or null. */
    fun refusal(): Failure? =
        if (phase == Phase.CLOSED) {
            Failure(ResultCode.DRAINING, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)
        } else {
            null
        }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
