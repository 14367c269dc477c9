package org.medlarhook.core.serving.shutdown

import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.place.Demand

/**
 * Decides which requests a process admits during its graceful shutdown.
 *
 * Designed for rolling restarts: the balancer sends callers to a stopping process until it has noticed, and longer if
 * too few processes are left. A request is admitted only if its answer will be complete when the shutdown ends, so that
 * none is cut off; the others can be served by another process.
 */
public object ShutdownAdmission {
    /** Returns true if [demand], which arrived at [nowMs], ends within [window] as far as [estimates] can tell. */
    public fun admits(demand: Demand, estimates: ServiceEstimates, window: ShutdownWindow, nowMs: Long): Boolean {
        if (demand.deadlineAtMs <= window.endsAtMs) return true
        val longestMs = longestAnswerMs(demand, estimates) ?: return false
        return longestMs * DURATION_MARGIN <= window.endsAtMs - nowMs
    }

    /** Returns true if the balancer has had time to notice [window]: other processes are then likely to be scarce. */
    public fun isBalancerInformed(window: ShutdownWindow, nowMs: Long): Boolean =
        nowMs - window.startedAtMs >= BALANCER_NOTICE_MS

    /**
     * The time of an answer with all the output that the caller allows, or null if nothing is known of it yet. A stream
     * without token counts may be of any length, so that earlier ones tell nothing of it.
     */
    private fun longestAnswerMs(demand: Demand, estimates: ServiceEstimates): Double? {
        val route = demand.route
        val generation =
            demand.generation
                ?: return if (route.kind == CallKind.STREAM) null else estimates.longestAnswerMs(route.name)
        val stepMs = estimates.rates.slowestDecodeStepMs ?: return null
        return route.objectiveMs + generation.maxOutputTokens * stepMs
    }

    /** An answer may take this many times as long as the slowest recent one. */
    private const val DURATION_MARGIN = 2.0

    /** The balancer takes a process out after two failed readiness checks, a second apart. */
    private const val BALANCER_NOTICE_MS = 2_500L
}
