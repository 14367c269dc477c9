package org.medlarhook.core.admission

import org.medlarhook.core.routing.FinishPrediction

/**
 * Refuses requests whose predicted finish is past the deadline.
 *
 * An entry predicts from an estimate of the load. It allows the prediction to be late by [slackShare] of the time left
 * until the deadline, so that borderline requests reach the sidecar, which knows its queue and decides without slack.
 * The retry delay of a refusal is the predicted lateness, because the queue drains one millisecond of work per
 * millisecond.
 *
 * @param slackShare the tolerated lateness as a share of the time left until the deadline.
 * @param minRetryAfterMs the shortest retry delay of a refusal.
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
