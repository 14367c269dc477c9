package org.medlarhook.core.attempt

/**
 * Bounds of an [AttemptTable].
 *
 * @property maxSettled finished and sealed attempts that are remembered with their state.
 * @property maxForgotten older attempts of which only the fact that they were seen is kept.
 * @property maxAnswers answers retained for a later seal.
 * @property maxAnswerBytes summed size of the retained answers.
 */
public data class AttemptLimits(
    val maxSettled: Int = 4_096,
    val maxForgotten: Int = 500_000,
    val maxAnswers: Int = 1_024,
    val maxAnswerBytes: Long = 4_194_304,
)
