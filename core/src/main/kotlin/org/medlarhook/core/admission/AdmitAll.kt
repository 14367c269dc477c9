package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction

/** Baseline that admits every request. */
public object AdmitAll : AdmissionPolicy {
    override fun decide(
        prediction: FinishPrediction,
        deadlineMs: Long,
        nowMs: Long,
    ): AdmissionDecision = AdmissionDecision.Admit
}
