package org.medlarhook.core.routing

/** An amount of work, counted in tokens of each phase. */
public data class WorkTokens(
    val prefillTokens: Long,
    val decodeTokens: Long,
) {
    /** The tokens of both phases. */
    val totalTokens: Long get() = prefillTokens + decodeTokens

    public operator fun plus(other: WorkTokens): WorkTokens =
        WorkTokens(prefillTokens + other.prefillTokens, decodeTokens + other.decodeTokens)

    /** The difference, with no phase below zero. */
    public operator fun minus(other: WorkTokens): WorkTokens =
        WorkTokens(
            (prefillTokens - other.prefillTokens).coerceAtLeast(0),
            (decodeTokens - other.decodeTokens).coerceAtLeast(0),
        )

    /** The work multiplied by [share]. */
    public operator fun times(share: Double): WorkTokens =
        WorkTokens((prefillTokens * share).toLong(), (decodeTokens * share).toLong())

    public companion object {
        /** No work. */
        public val NONE: WorkTokens = WorkTokens(0, 0)
    }
}
