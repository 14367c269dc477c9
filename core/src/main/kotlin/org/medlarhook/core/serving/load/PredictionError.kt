package org.medlarhook.core.serving.load

import kotlin.math.exp
import kotlin.math.ln

/**
 * How long first events take against their prediction, over all upstreams of a service, as a moving geometric mean:
 * a few that come very late do not stand for all.
 *
 * Answers the load pattern of many processes that send to the same engines at once: each knows little of the others'
 * work, so that all predictions are short together, and more so the more work there is. What is taken on follows the
 * corrected prediction, which brings the queues back to what was meant.
 */
public data class PredictionError(
    private val logRatio: Double = 0.0,
) {
    /** Observed time by predicted time. */
    val ratio: Double get() = exp(logRatio)

    /** Records that a first event predicted in [predictedMs] came after [observedMs]. */
    public fun observed(predictedMs: Double, observedMs: Double): PredictionError {
        val sample = (observedMs / predictedMs.coerceAtLeast(MIN_PREDICTED_MS)).coerceIn(MIN_RATIO, MAX_RATIO)
        return PredictionError(logRatio + (ln(sample) - logRatio) * WEIGHT)
    }

    private companion object {
        /** Twenty requests, about a second of a busy process, follow a change of load. */
        const val WEIGHT = 0.05

        /** Shorter predictions are off by scheduling, not by queues. */
        const val MIN_PREDICTED_MS = 20.0
        const val MIN_RATIO = 0.5
        const val MAX_RATIO = 6.0
    }
}
