package org.medlarhook.core.admission

/** Whether a request is taken. */
public sealed interface AdmissionDecision {
    /** The answer is expected before the deadline. */
    public data object Admit : AdmissionDecision

    /**
     * The answer would be late. The same request sent after [retryAfterMs] is expected to be in time; null says that
     * waiting does not help.
     */
    public data class Refuse(
        val retryAfterMs: Long?,
    ) : AdmissionDecision
}
