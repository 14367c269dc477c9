package org.medlarhook.core.directory

/**
 * The pseudo-random generator SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number Generators",
 * 2014). It spreads the actions of many processes over time.
 */
internal object SplitMix64 {
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
    private const val MIX_1 = -0x40a7b892e31b1a47L
    private const val MIX_2 = -0x6b2fb644ecceee15L
    private const val SHIFT_1 = 30
    private const val SHIFT_2 = 27
    private const val SHIFT_3 = 31

    fun next(seed: Long): Long = seed + GOLDEN_GAMMA

    /** Returns a value in [fromMs, untilMs) drawn from [seed]. */
    fun between(seed: Long, fromMs: Long, untilMs: Long): Long =
        if (untilMs <= fromMs) fromMs else fromMs + Math.floorMod(mix(seed), untilMs - fromMs)

    fun mix(seed: Long): Long {
        val first = (seed xor (seed ushr SHIFT_1)) * MIX_1
        val second = (first xor (first ushr SHIFT_2)) * MIX_2
        return second xor (second ushr SHIFT_3)
    }
}
