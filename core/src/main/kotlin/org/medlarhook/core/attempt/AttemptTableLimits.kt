package org.medlarhook.core.attempt

/**
 * Bounds of an [AttemptTable].
 *
 * @property maxStateEntries finished and sealed attempts that are remembered with their state.
 * @property maxFilterEntries older attempts of which only the fact that they were seen is kept.
 * @property maxAnswers answers retained for a later seal.
 * @property maxAnswerBytes summed size of the retained answers.
 */
public data class AttemptTableLimits(
    val maxStateEntries: Int = 4_096,
    val maxFilterEntries: Int = 500_000,
    val maxAnswers: Int = 1_024,
    val maxAnswerBytes: Long = 4_194_304,
)
