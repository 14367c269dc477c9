package org.medlarhook.core.serving.usage

/** What a process does about the row of the shared clock. */
public sealed interface SharedClockChoice {
    /** The row holds; the process follows it. */
    public data object Follow : SharedClockChoice

    /** The process writes [row], if nobody else has written meanwhile. */
    public data class Write(
        val row: SharedClockRow,
    ) : SharedClockChoice

    /** Others may know more; they write within [AWAITED_MS]. */
    public data object Await : SharedClockChoice

    public companion object {
        /** Processes that know what a drill has lost write it again within a second; the rest covers slow calls. */
        public const val AWAITED_MS: Long = 2_000

        /** Clocks of two processes differ by less, if neither call to the store took longer. */
        public const val GREATEST_DIFFERENCE_MS: Long = 1_000

        /**
         * How far a process may have been ahead of the one that writes the beginning: it is ahead of its row by less
         * than [GREATEST_DIFFERENCE_MS], and the writer behind by half of its call to the store and the drift.
         */
        public const val WITNESSED_MARGIN_MS: Long = 1_600

        /**
         * How far the clock of processes that have all started in an era of the store may be behind the one before it:
         * the store's clock may have gone back in the drill, and their wall clocks may have jumped back by seconds.
         */
        public const val UNWITNESSED_MARGIN_MS: Long = 10_000

        /**
         * Returns what a process does at the moment of [sample].
         *
         * In an era without a row, a process that has followed the shared clock from before writes it from its own. If
         * there is none, one that has just started, or is in doubt, writes the later one of all clocks that it knows,
         * and a beginning of the era that is later by a margin: a later one leaves windows out, an earlier one could
         * let a window be summed up twice.
         *
         * @param current the row of the era of [sample], or null.
         * @param before the row of the latest era before it, or null.
         * @param noticedAtMs when this process has noticed that era, on the monotonic clock.
         * @param wallGapMs the wall clock minus the monotonic clock.
         */
        public fun of(
            state: SharedClockState,
            current: SharedClockRow?,
            before: SharedClockRow?,
            sample: StoreClockSample,
            noticedAtMs: Long,
            wallGapMs: Long,
        ): SharedClockChoice {
            val ownOffsetMs = state.offsetMs?.minus(sample.storeMinusMonotonicMs)
            val isWitness = state.isWitnessOf(sample.era)
            val isAwaited = !isWitness && sample.era != 0L && sample.sentAtMs - noticedAtMs < AWAITED_MS
            if (current != null) return follow(current, ownOffsetMs)
            if (isAwaited) return Await
            val wallOffsetMs = wallGapMs - sample.storeMinusMonotonicMs
            val offsetMs =
                ownOffsetMs?.takeIf { isWitness } ?: listOfNotNull(wallOffsetMs, ownOffsetMs, before?.offsetMs).max()
            if (sample.era == 0L) return Write(SharedClockRow(offsetMs))
            val marginMs =
                when {
                    isWitness -> WITNESSED_MARGIN_MS
                    before != null || ownOffsetMs != null -> UNWITNESSED_MARGIN_MS
                    else -> 0
                }
            val noticedMs = noticedAtMs + sample.gapRangeMs.last + marginMs
            val beganBeforeMs = listOfNotNull(before?.beganAtMs, state.beganAtMs).maxOfOrNull { it - offsetMs }
            return Write(SharedClockRow(offsetMs, maxOf(noticedMs, beganBeforeMs ?: noticedMs)))
        }

        private fun follow(current: SharedClockRow, ownOffsetMs: Long?): SharedClockChoice =
            if (ownOffsetMs != null && ownOffsetMs - current.offsetMs > GREATEST_DIFFERENCE_MS) {
                Write(current.copy(offsetMs = ownOffsetMs))
            } else {
                Follow
            }
    }
}
