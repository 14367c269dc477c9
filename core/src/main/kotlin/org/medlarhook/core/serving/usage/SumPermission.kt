package org.medlarhook.core.serving.usage

/** Whether the holder of the usage lease may form a sum of a window that has none in the store. */
public enum class SumPermission {
    /** No sum was formed before. */
    GRANTED,

    /** The processes may still be writing the counts again that a drill of the store has lost. */
    AWAITING_COUNTS,

    /** A sum may have been formed, and reported, before a drill that lost it; another one could differ. */
    SUM_MAY_BE_LOST,
    ;

    public companion object {
        /**
         * Returns the permission at [nowMs] for a window that ended at [windowEndMs], all on the shared clock.
         *
         * @param settleMs the time after its end before which no process forms the sum of a window.
         * @param eraStartedAtMs a time at or after the beginning of the era of the store, or null if it is the first
         * one.
         */
        public fun of(windowEndMs: Long, settleMs: Long, eraStartedAtMs: Long?, nowMs: Long): SumPermission =
            when {
                eraStartedAtMs == null -> GRANTED
                windowEndMs + settleMs - CLOCK_DIFFERENCE_MS <= eraStartedAtMs -> SUM_MAY_BE_LOST
                nowMs < eraStartedAtMs + COUNTS_WRITTEN_AGAIN_MS -> AWAITING_COUNTS
                else -> GRANTED
            }

        /** The shared clocks of two processes differ by less: each is wrong by half a call to the store at most. */
        private const val CLOCK_DIFFERENCE_MS = 1_000L

        /** Processes write their counts again within a second; the rest covers slow calls. */
        private const val COUNTS_WRITTEN_AGAIN_MS = 4_000L
    }
}
