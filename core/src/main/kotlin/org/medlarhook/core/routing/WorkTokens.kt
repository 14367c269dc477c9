package org.medlarhook.core.routing

/** An amount of work, in tokens of each phase. */
public data class WorkTokens(
    val prefillTokens: Long,
    val decodeTokens: Long,
) {
    /** The sum over both phases. */
    val totalTokens: Long get() = prefillTokens + decodeTokens

    public operator fun plus(other: WorkTokens): WorkTokens =
        WorkTokens(prefillTokens + other.prefillTokens, decodeTokens + other.decodeTokens)

    /** The difference, at least zero in each phase. */
    public operator fun minus(other: WorkTokens): WorkTokens =
        WorkTokens(
            (prefillTokens - other.prefillTokens).coerceAtLeast(0),
            (decodeTokens - other.decodeTokens).coerceAtLeast(0),
        )

    /** The work multiplied by [share], rounded down to whole tokens. */
    public operator fun times(share: Double): WorkTokens =
        WorkTokens((prefillTokens * share).toLong(), (decodeTokens * share).toLong())

    public companion object {
        /** Zero tokens in both phases. */
        public val NONE: WorkTokens = WorkTokens(0, 0)
    }
}
