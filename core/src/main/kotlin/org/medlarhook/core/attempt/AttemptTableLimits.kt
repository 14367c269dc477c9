package org.medlarhook.core.attempt

/**
 * Bounds of an [AttemptTable].
 *
 * @property maxStateEntries finished and sealed attempts that are kept with their outcome.
 * @property maxFilterEntries older attempts in the Bloom filter, which keeps only that they were received.
 * @property maxAnswers answers of finished attempts that are retained for a later seal.
 * @property maxAnswerBytes total size of the retained answers, in bytes.
 */
public data class AttemptTableLimits(
    val maxStateEntries: Int = 4_096,
    val maxFilterEntries: Int = 500_000,
    val maxAnswers: Int = 1_024,
    val maxAnswerBytes: Long = 4_194_304,
)
