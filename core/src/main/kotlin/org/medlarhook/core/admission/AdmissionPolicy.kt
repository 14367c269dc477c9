package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction

/** Admits or refuses a request by its predicted finish. */
public interface AdmissionPolicy {
    /** Compares [prediction] with [deadlineMs]; all times are on the clock of [nowMs]. */
    public fun decide(
        prediction: FinishPrediction,
        deadlineMs: Long,
        nowMs: Long,
    ): AdmissionDecision
}
