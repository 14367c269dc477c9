package org.medlarhook.core.serving.usage

/**
 * The shared clock as one process knows it, and whether the process is sure of it.
 *
 * The monotonic clock may not count a suspension, after which the shared clock of this process is behind. Two witnesses
 * show that: the wall clock, and the store's clock in the answers of an era. A wall clock that jumps back may hide a
 * suspension, so that a jump in either direction is a doubt. After a doubt the process agrees on the clock again.
 *
 * @property offsetMs the shared clock minus the monotonic clock, or null before the first agreement. It never falls, so
 * that no window is counted in again that this process has closed.
 * @property isSure false from a doubt until the next agreement.
 * @property agreedEra the era of the store in which the processes last agreed, or null before that.
 * @property beganAtMs the latest beginning of an era that was agreed on, on the shared clock; null in the first era.
 */
public data class SharedClockState(
    val offsetMs: Long? = null,
    val isSure: Boolean = false,
    val agreedEra: Long? = null,
    val beganAtMs: Long? = null,
    private val agreedRangeMs: LongRange? = null,
    private val wallGapMs: Long? = null,
) {
    /** Compares the monotonic clock with the wall clock. */
    public fun observed(nowMs: Long, wallMs: Long): SharedClockState {
        val gapMs = wallMs - nowMs
        return copy(isSure = isSure && !hasJumped(gapMs), wallGapMs = gapMs)
    }

    /** True if [gapMs], the wall clock minus the monotonic clock, has changed since it was last observed. */
    public fun hasJumped(gapMs: Long): Boolean =
        wallGapMs != null && gapMs - wallGapMs !in -MAX_WALL_JUMP_MS..MAX_WALL_JUMP_MS

    /** Compares the monotonic clock with the store's clock, as it stands in an answer of the store. */
    public fun observed(sample: StoreClockSample): SharedClockState {
        if (agreedRangeMs == null || sample.era != agreedEra) return this
        val isApart =
            sample.gapRangeMs.first > agreedRangeMs.last + MAX_DRIFT_MS ||
                sample.gapRangeMs.last < agreedRangeMs.first - MAX_DRIFT_MS
        return if (isApart) copy(isSure = false) else this
    }

    /** Records that the processes agree on [row] in the era of [sample]. */
    public fun agreed(row: SharedClockRow, sample: StoreClockSample): SharedClockState {
        val agreedMs = row.offsetMs + sample.storeMinusMonotonicMs
        val isBehind = offsetMs == null || agreedMs > offsetMs + sample.tookMs / 2 + MAX_DRIFT_MS
        return copy(
            offsetMs = if (isBehind) agreedMs else offsetMs,
            isSure = true,
            agreedEra = sample.era,
            beganAtMs = listOfNotNull(beganAtMs, row.beganAtMs).maxOrNull(),
            agreedRangeMs = sample.gapRangeMs,
        )
    }

    /** True if this process knows the shared clock from before [era] and was not suspended since. */
    public fun isWitnessOf(era: Long): Boolean = isSure && agreedEra != null && agreedEra < era

    private companion object {
        /** Clocks drift far less between two observations. */
        const val MAX_WALL_JUMP_MS = 300L
        const val MAX_DRIFT_MS = 100L
    }
}
