package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction
import org.medlarhook.core.routing.WorkTokens

/** Predicts the finish of a request from the state of the queue at a sidecar. */
public object QueueFinishPredictor {
    /** The predicted finish of [work] if it joins the queue described by [state] at [nowMs]. */
    public fun predict(work: WorkTokens, state: QueueState, nowMs: Long): FinishPrediction {
        val speed = state.speed
        val unloadedMs = nowMs + speed.prefillMs(work.prefillTokens) + speed.decodeMs(work.decodeTokens)
        val waitMs = state.queuedAheadMs + speed.prefillMs(state.runningWork.prefillTokens) + slotWaitMs(state)
        return FinishPrediction((unloadedMs + waitMs).toLong(), unloadedMs.toLong())
    }

    /** The expected time until the first running request ends if all batch slots are taken, else 0. */
    private fun slotWaitMs(state: QueueState): Double {
        if (state.running < state.speed.slots) return 0.0
        return state.speed.batchDecodeMs(state.runningWork.decodeTokens / state.running)
    }
}
