package org.medlarhook.core.directory

/**
 * Times of the directory's replica and of the rule of authority.
 *
 * The rule holds if [stalenessLimitMs] and [peerStatusLimitMs] - [writeDelayMs] stay below [WITHDRAWAL_BOUND_MS].
 *
 * @property pollIntervalMs from the start of one read of the tables to the start of the next.
 * @property pollTimeoutMs after which a read counts as failed.
 * @property backoffMinMs the first pause after a failed read; it doubles up to [backoffMaxMs].
 * @property exchangeIntervalMs between two calls of peers.
 * @property exchangeTimeoutMs after which a call of a peer counts as failed.
 * @property stalenessLimitMs how old news may be for keyed routes to be served.
 * @property peerStatusLimitMs how old a peer status may be in an outage of the tables for all.
 * @property writeDelayMs how long an entry that reaches the tables again waits before it writes the directory.
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
        require(stalenessLimitMs <= WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS) { "stalenessLimitMs is too long" }
        require(peerStatusLimitMs - writeDelayMs <= WITHDRAWAL_BOUND_MS - CLOCK_MARGIN_MS) {
            "peerStatusLimitMs is too long"
        }
    }

    public companion object {
        /** After this time no entry accepts a withdrawn key. */
        public const val WITHDRAWAL_BOUND_MS: Long = 5_000

        /** Covers clocks that run at different rates, and the time between two checks of an open stream. */
        public const val CLOCK_MARGIN_MS: Long = 500
    }
}
