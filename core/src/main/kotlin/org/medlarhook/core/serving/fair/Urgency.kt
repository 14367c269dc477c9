package org.medlarhook.core.serving.fair

/**
 * How the priorities that ask at a service now are preferred to each other.
 *
 * Answers kinds of request with unequal prompts and objectives at one service: by predicted times alone, the urgent
 * kind may be refused more often than a less urgent one that is easier to serve.
 */
internal object Urgency {
    private const val STEP_PER_RANK = 0.05
    private const val MIN_FACTOR = 0.5
    private const val MAX_FACTOR = 1.25

    /** How much a factor changes with the difference between the refused shares of two priorities. */
    private const val RESPONSE = 4.0

    /** Returns the factor on the objective's share for each priority of [accounts] that asks at [nowMs]. */
    fun of(accounts: Map<Int, PriorityAccount>, nowMs: Long): Map<Int, Double> {
        val refusedShares = accounts.filterValues { it.isAsking(nowMs) }.mapValues { it.value.refusedShare(nowMs) }
        return refusedShares.mapValues { (priority, refusedShare) ->
            val moreUrgent = refusedShares.filterKeys { it < priority }.values
            val lessUrgent = refusedShares.filterKeys { it > priority }.values
            val excess = (refusedShare - (lessUrgent.minOrNull() ?: refusedShare)).coerceAtLeast(0.0)
            val deficit = ((moreUrgent.maxOrNull() ?: refusedShare) - refusedShare).coerceAtLeast(0.0)
            (1 - STEP_PER_RANK * moreUrgent.size + RESPONSE * (excess - deficit)).coerceIn(MIN_FACTOR, MAX_FACTOR)
        }
    }
}
