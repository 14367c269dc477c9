package org.medlarhook.core.call.fuzz

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import kotlin.test.assertTrue

class BookingFuzz {
    @Provide
    internal fun chains() = chainsOf(BookingWorld.OPS) { BookingWorld(totals = totals) }

    @Property(tries = 3_000, seed = "41")
    internal fun `Given faults of any kind, then a booking runs at most once and no refusal lies`(
        @ForAll("chains") chain: ActionChain<BookingWorld>,
    ) {
        finish(chain)
    }

    @Property(tries = 1, seed = "42")
    fun `Given a call sent before its claim stands, then the oracle finds a second run`() =
        assertCaught(BookingFault.SENDS_BEFORE_THE_CLAIM_STANDS, "runs twice")

    @Property(tries = 1, seed = "43")
    fun `Given a claim taken over without a seal, then the oracle finds a second run`() =
        assertCaught(BookingFault.TAKES_OVER_WITHOUT_SEAL, "runs twice")

    @Property(tries = 1, seed = "44")
    fun `Given a sidecar that ignores incarnations, then the oracle finds a second run`() =
        assertCaught(BookingFault.IGNORES_INCARNATIONS, "runs twice")

    @Property(tries = 1, seed = "45")
    fun `Given claims written without a condition, then the oracle finds a second run`() =
        assertCaught(BookingFault.WRITES_UNCONDITIONALLY, "runs twice")

    @Property(tries = 1, seed = "46")
    fun `Given a lost call taken for one not sent, then the oracle finds a second run`() =
        assertCaught(BookingFault.TAKES_LOST_FOR_NOT_SENT, "runs twice")

    @Property(tries = 1, seed = "47")
    fun `Given a sidecar that forgets its seals, then the oracle finds a refusal that lies`() =
        assertCaught(BookingFault.FORGETS_SEALS, "told not run")

    private fun assertCaught(fault: BookingFault, words: String) {
        val found = violations(chainsOf(BookingWorld.OPS) { BookingWorld(fault) }, RED_CHAINS, seed = 7)
        println("$fault: ${found.size} of $RED_CHAINS chains caught, ${found.toSet().take(2)}")
        assertTrue(found.any { words in it }, "the oracle found only $found")
    }

    companion object {
        private const val RED_CHAINS = 600
        private val totals = BookingTotals()

        @JvmStatic
        @AfterContainer
        fun report() {
            println("bookings: $totals")
            assertTrue(totals.replays > 0 && totals.notRun > 0 && totals.answers > totals.replays, "an empty proof")
        }
    }
}
