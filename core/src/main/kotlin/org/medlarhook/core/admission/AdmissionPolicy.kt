package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction

/** Decides whether a request is taken, from when its answer is expected. */
public interface AdmissionPolicy {
    /** Compares [prediction] with [deadlineMs]. */
    public fun decide(
        prediction: FinishPrediction,
        deadlineMs: Long,
        nowMs: Long,
    ): AdmissionDecision
}
