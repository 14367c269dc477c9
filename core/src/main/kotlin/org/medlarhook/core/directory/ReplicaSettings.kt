package org.medlarhook.core.directory

/**
 * Intervals, timeouts and staleness bounds of the directory replica and of [FreshnessAuthorityPolicy].
 *
 * No entry accepts a withdrawn key after [WITHDRAWAL_BOUND_MS] if both [stalenessLimitMs] and
 * [peerStatusLimitMs] - [writeDelayMs] stay below that bound.
 *
 * @property pollIntervalMs time from the start of one poll of the tables to the start of the next, before jitter.
 * @property pollTimeoutMs time after which an unanswered poll counts as failed.
 * @property backoffMinMs base of the exponential back-off after failed polls, which is limited to [backoffMaxMs].
 * @property exchangeIntervalMs time between the starts of two digest exchanges, before jitter.
 * @property exchangeTimeoutMs time after which an unanswered exchange counts as failed.
 * @property maxExchangesInFlight limit of exchanges that are under way at once.
 * @property membersIntervalMs time between two reads of the entry table, before jitter.
 * @property vmListIntervalMs time between two reads of the VM list, before jitter.
 * @property stalenessLimitMs maximum age of the newest known table read with which keyed routes are served.
 * @property peerStatusLimitMs maximum age of a peer status that counts as evidence of an outage of all entries.
 * @property writeDelayMs time for which an entry must report that it reaches the tables before it writes the directory.
 */
public data class ReplicaSettings(
    val pollIntervalMs: Long = 3_000,
    val pollTimeoutMs: Long = 1_000,
    val backoffMinMs: Long = 500,
    val backoffMaxMs: Long = 6_000,
    val exchangeIntervalMs: Long = 333,
    val exchangeTimeoutMs: Long = 1_000,
    val maxExchangesInFlight: Int = 3,
    val membersIntervalMs: Long = 30_000,
    val vmListIntervalMs: Long = 5_000,
    val stalenessLimitMs: Long = 4_500,
    val peerStatusLimitMs: Long = 9_000,
    val writeDelayMs: Long = 5_000,
) {
    init {
        require(stalenessLimitMs <= WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS) {
            "stalenessLimitMs is $stalenessLimitMs ms; at most ${WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS} ms are allowed"
        }
        require(peerStatusLimitMs - writeDelayMs <= WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS) {
            "peerStatusLimitMs is $peerStatusLimitMs, above ${writeDelayMs + WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS} ms"
        }
    }

    public companion object {
        /** Time after a withdrawal at which no entry accepts the key any more. */
        public const val WITHDRAWAL_BOUND_MS: Long = 5_000

        /** Allowance for clocks that run at different rates, and for the time between two checks of an open stream. */
        public const val CLOCK_MARGIN_MS: Long = 500
    }
}
