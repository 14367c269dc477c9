package org.medlarhook.core.lease

import com.google.common.hash.Hashing

/**
 * Adds jitter to periods, so that processes that start together do not act at the same time.
 *
 * @property percent maximum deviation from a period.
 * @property name identifies the process and its task; different names give different jitter.
 */
public class Jitter(
    private val percent: Int,
    private val name: String,
) {
    /** Returns [periodMs] changed by at most [percent] per cent; the same [count] always gives the same result. */
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
