package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/**
 * Whether this entry accepts requests.
 *
 * To drain, the entry first fails `/readyz`, so that load balancers send no more requests, and refuses new ones later.
 */
internal class DrainState(
    private val isDirectoryReady: () -> Boolean,
) {
    private enum class Phase { OPEN, NOT_READY, REFUSING }

    @Volatile
    private var phase = Phase.OPEN

    /** Whether `/readyz` succeeds: the entry is not draining, and its directory can be used. */
    val isReady: Boolean
        get() = phase == Phase.OPEN && isDirectoryReady()

    /** Makes `/readyz` fail. New requests are still accepted. */
    fun reportNotReady() {
        phase = Phase.NOT_READY
    }

    /** Makes [refusal] refuse new requests. */
    fun refuseRequests() {
        phase = Phase.REFUSING
    }

    /** Returns why a new request is refused, or null if it is accepted. */
    fun refusal(): Failure? =
        if (phase == Phase.REFUSING) {
            Failure(ResultCode.DRAINING, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)
        } else {
            null
        }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
