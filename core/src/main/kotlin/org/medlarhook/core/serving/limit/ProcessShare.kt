package org.medlarhook.core.serving.limit

/**
 * This process's place among the processes that divide the limit of an upstream.
 *
 * All processes read the same list at about the same time, so that their places differ. A process that has just started
 * has no place until the others have read a list that contains it.
 *
 * @property rank the place in the list, from 0.
 * @property processes the length of the list.
 * @property clockOffsetMs the clock on which all processes agree, minus this process's monotonic clock.
 * @property freshUntilMs when the next list should have been read, on the monotonic clock.
 */
public data class ProcessShare(
    val rank: Int,
    val processes: Int,
    val clockOffsetMs: Long,
    val freshUntilMs: Long,
) {
    public companion object {
        /**
         * The place of [process] in [list], the processes that published in the usage window before [window], as read
         * at [readAtMs]. The next list is read [windowMs] later.
         *
         * Returns null if it is not in it, or if [firstWindow], in which it first published, is null or not over: the
         * others then read lists without it.
         */
        public fun of(
            process: String,
            list: Set<String>,
            firstWindow: Long?,
            window: Long,
            clockOffsetMs: Long,
            readAtMs: Long,
            windowMs: Long,
        ): ProcessShare? {
            val rank = list.sorted().indexOf(process)
            val isKnown = firstWindow != null && firstWindow < window
            if (rank < 0 || !isKnown) return null
            return ProcessShare(rank, list.size, clockOffsetMs, readAtMs + windowMs + READ_MARGIN_MS)
        }

        /** A slow call of the store, and two steps of the reporter that reads the list. */
        private const val READ_MARGIN_MS = 2_000L
    }
}
