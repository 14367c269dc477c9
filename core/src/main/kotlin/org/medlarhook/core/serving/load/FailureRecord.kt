package org.medlarhook.core.serving.load

/**
 * Recent failures of an upstream; an upstream that fails in series is left out for a while.
 *
 * @property untilMs until when it gets no work while another can take it.
 */
public data class FailureRecord(
    private val share: Double = 0.0,
    private val inSeries: Int = 0,
    val untilMs: Long = Long.MIN_VALUE,
) {
    /** Records an answer. */
    public fun succeeded(): FailureRecord = copy(share = share * (1 - WEIGHT), inSeries = 0)

    /** Records a failure at [nowMs]. */
    public fun failed(nowMs: Long): FailureRecord {
        val newShare = share + (1 - share) * WEIGHT
        val newSeries = inSeries + 1
        val isBad = newSeries >= SERIES || newShare > BAD_SHARE
        return FailureRecord(newShare, newSeries, if (isBad) nowMs + AVOID_MS else untilMs)
    }

    /** True if the upstream should get no work at [nowMs] while another can take it. */
    public fun isAvoided(nowMs: Long): Boolean = nowMs < untilMs

    private companion object {
        const val WEIGHT = 0.15

        /** Failures in a row after which an upstream is left out. */
        const val SERIES = 2

        /** Above the share of failures that healthy services show. */
        const val BAD_SHARE = 0.4

        /** Short against an outage of seconds, long against a request. */
        const val AVOID_MS = 1_000L
    }
}
