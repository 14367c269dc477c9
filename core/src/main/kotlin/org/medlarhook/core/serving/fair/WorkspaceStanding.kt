package org.medlarhook.core.serving.fair

/**
 * The recent work of a request's workspace against its fair share, and what follows for the request's admission.
 *
 * @property work the workspace's recent work at the service, in tokens or, for a plain service, in milliseconds.
 * @property fairShare the workspace's fair share in the same unit.
 * @property toldAgeMs the age of the counts of other processes, or null if the work is that of this process only.
 * @property urgencyFactor the factor for the rank of the request's priority.
 */
public data class WorkspaceStanding(
    val work: Double,
    val fairShare: Double,
    val toldAgeMs: Long?,
    val urgencyFactor: Double,
) {
    /** True if the workspace has more work than its fair share. */
    val isAboveShare: Boolean get() = work > fairShare * ABOVE_SHARE

    /**
     * The factor on the predicted time up to which the request is admitted: 1 at the fair share, less above it, more
     * below.
     */
    val objectiveFactor: Double get() = (shareFactor * urgencyFactor).coerceIn(MIN_FACTOR, MAX_FACTOR)

    private val shareFactor: Double
        get() {
            val ratio = if (fairShare > 0) work / fairShare else 1.0
            return if (ratio > 1) 1 - (ratio - 1) * LOSS_ABOVE_SHARE else 1 + (1 - ratio) * GAIN_BELOW_SHARE
        }

    private companion object {
        /** Estimates of the work at other processes are no better than this. */
        const val ABOVE_SHARE = 1.05

        /** The factor falls to [MIN_FACTOR] at twice the fair share. */
        const val LOSS_ABOVE_SHARE = 0.7

        /** The factor reaches [MAX_FACTOR] at half of the fair share. */
        const val GAIN_BELOW_SHARE = 0.5
        const val MIN_FACTOR = 0.3

        /** The share of the objective for new requests times this is the whole objective. */
        const val MAX_FACTOR = 1.25
    }
}
