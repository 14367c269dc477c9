package org.medlarhook.core.attempt

/**
 * The properties of an attempt that the scheduler uses. A call of a plain service counts as one output token.
 *
 * @property outputTokens the largest number of tokens that the attempt may generate.
 * @property deadlineMs time on the same clock as the `nowMs` of [AttemptScheduler].
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
    /** The cost in the fair queue, in tokens. */
    val costTokens: Long get() = maxOf(1, promptTokens + outputTokens)
}
