package org.medlarhook.core.serving.load

/** How long an upstream takes against the prediction, as a moving mean. */
public data class SpeedRatio(
    val ratio: Double = 1.0,
) {
    /** Records that what was predicted as [predictedMs] took [observedMs]. */
    public fun observed(predictedMs: Double, observedMs: Double): SpeedRatio {
        val sample = (observedMs / predictedMs.coerceAtLeast(1.0)).coerceIn(MIN_RATIO, MAX_RATIO)
        return SpeedRatio(ratio + (sample - ratio) * WEIGHT)
    }

    private companion object {
        /** A tenth of each sample: about twenty answers tell a slow upstream. */
        const val WEIGHT = 0.1
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 10.0
    }
}
