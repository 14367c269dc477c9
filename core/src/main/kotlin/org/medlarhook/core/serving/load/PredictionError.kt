package org.medlarhook.core.serving.load

import kotlin.math.exp
import kotlin.math.ln

/**
 * The ratio of observed to predicted time to the first event, over all upstreams of a service. It is an exponential
 * moving geometric mean, so that a few very late first events do not dominate it.
 *
 * Designed for many processes that send to the same engines at once: each has little information about the work of the
 * others, so that all of them predict too short a time, the more so the higher the load. Admission uses the corrected
 * prediction, which brings the queues back to the intended length.
 */
public data class PredictionError(
    private val logRatio: Double = 0.0,
) {
    /** Observed time divided by predicted time. */
    val ratio: Double get() = exp(logRatio)

    /** Records that a first event that was predicted after [predictedMs] came after [observedMs]. */
    public fun observed(predictedMs: Double, observedMs: Double): PredictionError {
        val sample = (observedMs / predictedMs.coerceAtLeast(MIN_PREDICTED_MS)).coerceIn(MIN_RATIO, MAX_RATIO)
        return PredictionError(logRatio + (ln(sample) - logRatio) * SMOOTHING_WEIGHT)
    }

    private companion object {
        /** The mean follows a change of load within twenty requests, about a second of a busy process. */
        const val SMOOTHING_WEIGHT = 0.05

        /** The errors of shorter predictions come from scheduling, not from queues. */
        const val MIN_PREDICTED_MS = 20.0
        const val MIN_RATIO = 0.5
        const val MAX_RATIO = 6.0
    }
}
