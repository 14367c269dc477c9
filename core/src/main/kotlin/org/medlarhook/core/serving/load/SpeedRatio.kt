package org.medlarhook.core.serving.load

/** Observed time divided by predicted time of an upstream, as an exponential moving average. */
public data class SpeedRatio(
    val ratio: Double = 1.0,
) {
    /** Records that an answer, or a first event, predicted to take [predictedMs] took [observedMs]. */
    public fun observed(predictedMs: Double, observedMs: Double): SpeedRatio {
        val sample = (observedMs / predictedMs.coerceAtLeast(1.0)).coerceIn(MIN_RATIO, MAX_RATIO)
        return SpeedRatio(ratio + (sample - ratio) * SMOOTHING_WEIGHT)
    }

    private companion object {
        /** A tenth: about twenty answers show that an upstream is slow. */
        const val SMOOTHING_WEIGHT = 0.1
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 10.0
    }
}
