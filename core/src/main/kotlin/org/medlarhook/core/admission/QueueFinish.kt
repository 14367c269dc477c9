package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction
import org.medlarhook.core.routing.WorkTokens

/** Predicts the finish of a request from the queue that the sidecar holds. */
public object QueueFinish {
    /** The expected finish of [work], offered at [nowMs] to the queue of [state]. */
    public fun predict(work: WorkTokens, state: QueueState, nowMs: Long): FinishPrediction {
        val speed = state.speed
        val unloadedMs = nowMs + speed.prefillMs(work.prefillTokens) + speed.decodeMs(work.decodeTokens)
        val prefillAhead = state.runningWork.prefillTokens + state.fairAhead.prefillTokens
        val waitMs = speed.prefillMs(prefillAhead) + slotWaitMs(state)
        return FinishPrediction((unloadedMs + waitMs).toLong(), unloadedMs.toLong())
    }

    private fun slotWaitMs(state: QueueState): Double {
        val requests = state.running + state.requestsAhead
        val waiting = requests + 1 - state.speed.slots
        if (waiting <= 0) return 0.0
        val ahead = state.runningWork.decodeTokens + state.fairAhead.decodeTokens
        return state.speed.batchDecodeMs(ahead) * waiting / requests.coerceAtLeast(1)
    }
}
