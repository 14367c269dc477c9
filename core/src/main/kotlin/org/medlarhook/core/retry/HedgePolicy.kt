package org.medlarhook.core.retry

/** Decides on a second attempt for an idempotent call whose first byte is overdue. */
public class HedgePolicy(
    private val minDelayMs: Long = 50,
) {
    /** Decides at [nowMs]; the caller takes a hedge from the same [budget] as a retry. */
    public fun decide(question: HedgeQuestion, budget: RetryBudget, nowMs: Long): HedgeDecision {
        if (!question.idempotent || question.firstByteSeen) return HedgeDecision.NEVER
        val alternativeFinishMs = question.alternativeFinishMs ?: return HedgeDecision.NEVER
        if (alternativeFinishMs > question.deadlineMs) return HedgeDecision.NEVER
        val delayMs = maxOf(question.typicalFirstByteMs, minDelayMs)
        if (nowMs - question.sentAtMs < delayMs) return HedgeDecision.WAIT
        return if (budget.withdraw() == null) HedgeDecision.WAIT else HedgeDecision.SEND
    }
}
