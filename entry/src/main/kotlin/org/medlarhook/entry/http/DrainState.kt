package org.medlarhook.entry.http

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.core.serving.shutdown.ShutdownWindow

/**
 * Whether this entry accepts requests.
 *
 * To drain, the entry first fails `/readyz`, so that load balancers send no more requests, and refuses new ones later.
 * In between, it accepts a new request only if its deadline lies within the drain, as the others could be cut off.
 */
internal class DrainState(
    private val isDirectoryReady: () -> Boolean,
) {
    private enum class Phase { OPEN, NOT_READY, REFUSING }

    @Volatile
    private var phase = Phase.OPEN

    @Volatile
    private var window: ShutdownWindow? = null

    /** Whether `/readyz` succeeds: the entry is not draining, and its directory can be used. */
    val isReady: Boolean
        get() = phase == Phase.OPEN && isDirectoryReady()

    /** Makes `/readyz` fail. New requests are still accepted if their deadlines lie within [drainWindow]. */
    fun reportNotReady(drainWindow: ShutdownWindow) {
        window = drainWindow
        phase = Phase.NOT_READY
    }

    /** Makes [refusal] refuse new requests. */
    fun refuseRequests() {
        phase = Phase.REFUSING
    }

    /** Returns why a new request is refused whatever its deadline, or null if its deadline decides. */
    fun refusal(): Failure? = if (phase == Phase.REFUSING) draining() else null

    /**
     * Returns why a request that was received at [receivedAtMs] is refused for its deadline [deadlineAtMs], or null if
     * it is accepted. Both are on the monotonic clock. A request received before the drain is always accepted.
     */
    fun refusal(receivedAtMs: Long, deadlineAtMs: Long): Failure? {
        val drain = window ?: return null
        return if (receivedAtMs >= drain.startedAtMs && deadlineAtMs > drain.endsAtMs) draining() else null
    }

    private fun draining() = Failure(ResultCode.DRAINING, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
