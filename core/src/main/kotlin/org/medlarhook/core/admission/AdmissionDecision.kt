package org.medlarhook.core.admission

/** Whether an [AdmissionPolicy] admits a request. */
public sealed interface AdmissionDecision {
    /** The predicted finish is early enough for the policy. */
    public data object Admit : AdmissionDecision

    /**
     * The predicted finish is past the deadline. A retry of the same request after [retryAfterMs] is expected to meet
     * a deadline of the same length; null if no wait is predicted to help.
     */
    public data class Refuse(
        val retryAfterMs: Long?,
    ) : AdmissionDecision
}
