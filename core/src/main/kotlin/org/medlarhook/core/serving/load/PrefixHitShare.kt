package org.medlarhook.core.serving.load

/**
 * The share of unverified shared prefixes that engines turn out to have cached, or fetch from another engine.
 *
 * A prefix is unverified at an engine to which this process has not sent it: other processes may have. The share is an
 * exponential moving average over the times to the first event.
 */
public data class PrefixHitShare(
    val share: Double = INITIAL_SHARE,
) {
    /**
     * Records a first event after [observedMs], predicted after [ifCachedMs] with the prefix in a cache and after
     * [ifPrefilledMs] without it.
     */
    public fun observed(ifCachedMs: Double, ifPrefilledMs: Double, observedMs: Double): PrefixHitShare {
        if (ifPrefilledMs - ifCachedMs < MIN_DIFFERENCE_MS) return this
        val sample = ((ifPrefilledMs - observedMs) / (ifPrefilledMs - ifCachedMs)).coerceIn(0.0, 1.0)
        return PrefixHitShare(share + (sample - share) * SMOOTHING_WEIGHT)
    }

    private companion object {
        const val INITIAL_SHARE = 0.5
        const val SMOOTHING_WEIGHT = 0.05

        /** Smaller differences are lost among those of scheduling. */
        const val MIN_DIFFERENCE_MS = 5.0
    }
}
