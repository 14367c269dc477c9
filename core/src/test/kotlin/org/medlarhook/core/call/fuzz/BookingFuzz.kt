package org.medlarhook.core.call.fuzz

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import kotlin.test.assertTrue

class BookingFuzz {
    @Provide
    internal fun chains() = chainsOf(BookingSimulation.OPS) { BookingSimulation(totals = totals) }

    @Property(tries = 3_000, seed = "41")
    internal fun `Given faults of any kind, then a booking runs at most once and none that ran is reported as not run`(
        @ForAll("chains") chain: ActionChain<BookingSimulation>,
    ) {
        finish(chain)
    }

    @Property(tries = 1, seed = "42")
    fun `Given a call sent before its claim is written, then the oracle detects a second run`() =
        assertDetected(BookingFault.SENDS_BEFORE_CLAIM_IS_WRITTEN, "runs twice")

    @Property(tries = 1, seed = "43")
    fun `Given a claim replaced without a seal, then the oracle detects a second run`() =
        assertDetected(BookingFault.REPLACES_CLAIM_WITHOUT_SEAL, "runs twice")

    @Property(tries = 1, seed = "44")
    fun `Given a sidecar that ignores incarnations, then the oracle detects a second run`() =
        assertDetected(BookingFault.IGNORES_INCARNATIONS, "runs twice")

    @Property(tries = 1, seed = "45")
    fun `Given claims written without a condition, then the oracle detects a second run`() =
        assertDetected(BookingFault.WRITES_UNCONDITIONALLY, "runs twice")

    @Property(tries = 1, seed = "46")
    fun `Given a lost call reported as not sent, then the oracle detects a second run`() =
        assertDetected(BookingFault.REPORTS_LOST_CALL_AS_NOT_SENT, "runs twice")

    @Property(tries = 1, seed = "47")
    fun `Given a sidecar that loses its seals, then the oracle detects a run that was reported as not run`() =
        assertDetected(BookingFault.LOSES_SEALS, "reported as not run")

    private fun assertDetected(fault: BookingFault, words: String) {
        val found = violations(chainsOf(BookingSimulation.OPS) { BookingSimulation(fault) }, FAULT_CHAINS, seed = 7)
        println("injected fault $fault: detected in ${found.size} of $FAULT_CHAINS chains, ${found.toSet().take(2)}")
        assertTrue(found.any { words in it }, "expected a violation with '$words', but the oracle reported $found")
    }

    companion object {
        private const val FAULT_CHAINS = 600
        private val totals = BookingTotals()

        @JvmStatic
        @AfterContainer
        fun report() {
            println("bookings: $totals")
            assertTrue(totals.replays > 0 && totals.notRun > 0 && totals.answers > totals.replays, "untested: $totals")
        }
    }
}
