package org.medlarhook.core.attempt

/**
 * An attempt as the scheduler sees it. A call of a plain service counts as one output token.
 *
 * @property outputTokens the most that the attempt may generate.
 * @property deadlineMs on the clock of `nowMs`.
 */
public data class AttemptWork(
    val attemptId: String,
    val workspace: String,
    val weight: Int,
    val priority: Int,
    val promptTokens: Long,
    val outputTokens: Long,
    val deadlineMs: Long,
) {
    /** The cost in the fair queue. */
    val costTokens: Long get() = maxOf(1, promptTokens + outputTokens)
}
