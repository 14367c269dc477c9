package org.medlarhook.serving.call

import org.medlarhook.core.serving.load.LoopObservation

/** Observes how late the event loop is. Used on that loop only; [schedule] runs a task on it after a time in ms. */
internal class LoopDelay(
    private val schedule: (Long, () -> Unit) -> Unit,
) {
    private var observation = LoopObservation()

    /** Observes the loop at [nowMs]; called every [LoopObservation.PERIOD_MS]. */
    fun observe(nowMs: Long) {
        observation = observation.observed(nowMs)
        if (observation.isLate) schedule(LoopObservation.NEXT_TURN_MS) { observation = observation.caughtUp() }
    }

    /** The earliest time at which what is read at [nowMs] can have arrived. */
    fun earliestArrivalMs(nowMs: Long): Long = observation.earliestArrivalMs(nowMs)
}
