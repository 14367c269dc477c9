package org.medlarhook.core.serving.load

/**
 * Tells since when something that an event loop reads may have been waiting.
 *
 * A loop works in turns: it reads what has arrived, then runs its tasks. A task observes the time every [PERIOD_MS].
 * If an observation is overdue, the loop was busy or got no processor time, and what it reads until the end of its next
 * turn may have arrived right after the observation before.
 *
 * @property observedAtMs the last observation on the monotonic clock, or null before the first.
 * @property lateSinceMs the observation before, if the last one was overdue and the next turn has not ended.
 */
public data class LoopObservation(
    private val observedAtMs: Long? = null,
    private val lateSinceMs: Long? = null,
) {
    /** True from an overdue observation until [caughtUp]. */
    public val isLate: Boolean get() = lateSinceMs != null

    /** Records an observation at [nowMs]. Those that the loop makes up for at once after an overdue one don't count. */
    public fun observed(nowMs: Long): LoopObservation {
        val sinceMs = observedAtMs?.let { nowMs - it } ?: return LoopObservation(nowMs)
        return when {
            sinceMs > OVERDUE_AFTER_MS -> LoopObservation(nowMs, lateSinceMs = observedAtMs)
            sinceMs < PERIOD_MS / 2 -> this
            else -> LoopObservation(nowMs)
        }
    }

    /** Records the end of the turn after an overdue observation. */
    public fun caughtUp(): LoopObservation = copy(lateSinceMs = null)

    /** The earliest time at which what the loop reads at [nowMs] can have arrived; [nowMs] if the loop is on time. */
    public fun earliestArrivalMs(nowMs: Long): Long {
        val isOverdue = observedAtMs != null && nowMs - observedAtMs > OVERDUE_AFTER_MS
        return lateSinceMs ?: observedAtMs?.takeIf { isOverdue } ?: nowMs
    }

    public companion object {
        /** Time between two observations. */
        public const val PERIOD_MS: Long = 100

        /** Shorter delays of the loop are not told from the time between two observations. */
        public const val OVERDUE_AFTER_MS: Long = 2 * PERIOD_MS

        /** A task scheduled for this long after an overdue observation runs after the reads of the next turn. */
        public const val NEXT_TURN_MS: Long = 10
    }
}
