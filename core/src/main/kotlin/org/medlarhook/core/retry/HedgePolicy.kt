package org.medlarhook.core.retry

/** Decides whether to send a second attempt of an idempotent call whose first byte is late. */
public class HedgePolicy(
    private val minDelayMs: Long = 50,
) {
    /** Decides at [nowMs]. A hedge counts as a retry: the caller withdraws it from the same [budget]. */
    public fun decide(input: HedgeInput, budget: RetryBudget, nowMs: Long): HedgeDecision {
        if (!input.idempotent || input.firstByteSeen) return HedgeDecision.NEVER
        val alternativeFinishMs = input.alternativeFinishMs ?: return HedgeDecision.NEVER
        if (alternativeFinishMs > input.deadlineMs) return HedgeDecision.NEVER
        val delayMs = maxOf(input.typicalFirstByteMs, minDelayMs)
        if (nowMs - input.sentAtMs < delayMs) return HedgeDecision.WAIT
        return if (budget.withdraw() == null) HedgeDecision.WAIT else HedgeDecision.SEND
    }
}
