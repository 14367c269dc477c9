package org.medlarhook.core.lease

import com.google.common.hash.Hashing

/** Spreads periods so that processes that start together do not act together. */
public class Jitter(
    private val percent: Int,
    private val name: String,
) {
    /** Returns [periodMs] changed by at most the given share, the same for the same [count]. */
    public fun spread(periodMs: Long, count: Long): Long {
        val hash = Hashing.murmur3_128().newHasher().putUnencodedChars(name).putLong(count).hash().asLong()
        val steps = Math.floorMod(hash, 2 * STEPS + 1) - STEPS
        return periodMs + periodMs * percent * steps / (PERCENT * STEPS)
    }

    private companion object {
        const val STEPS = 1_000L
        const val PERCENT = 100L
    }
}
