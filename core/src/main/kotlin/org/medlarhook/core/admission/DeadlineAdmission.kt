package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction

/**
 * Refuses what would finish late.
 *
 * Entries decide by an estimate and leave [slackShare] of the remaining time for its error, so that the sidecar, which
 * knows its queue, has the last word. Sidecars decide without slack. The time to come back is when the queue will have
 * shrunk enough, as it drains one millisecond of work each millisecond.
 */
public class DeadlineAdmission(
    private val slackShare: Double = 0.0,
    private val minRetryAfterMs: Long = 50,
) : AdmissionPolicy {
    override fun decide(
        prediction: FinishPrediction,
        deadlineMs: Long,
        nowMs: Long,
    ): AdmissionDecision {
        val slackMs = ((deadlineMs - nowMs) * slackShare).toLong()
        val lateMs = prediction.finishMs - deadlineMs
        if (lateMs <= slackMs) return AdmissionDecision.Admit
        if (prediction.unloadedFinishMs > deadlineMs) return AdmissionDecision.Refuse(retryAfterMs = null)
        return AdmissionDecision.Refuse(lateMs.coerceAtLeast(minRetryAfterMs))
    }
}
