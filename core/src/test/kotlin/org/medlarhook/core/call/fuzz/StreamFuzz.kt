package org.medlarhook.core.call.fuzz

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import kotlin.test.assertTrue

class StreamFuzz {
    @Provide
    internal fun chains() = chainsOf(StreamSimulation.OPS) { StreamSimulation(totals = totals) }

    @Property(tries = 3_000, seed = "51")
    internal fun `Given late, duplicated or misdirected events, then a caller gets its whole own text or no end mark`(
        @ForAll("chains") chain: ActionChain<StreamSimulation>,
    ) {
        finish(chain)
    }

    @Property(tries = 1, seed = "52")
    fun `Given attempt ids that are ignored, then the oracle detects text of another request`() =
        assertDetected(StreamFault.IGNORES_ATTEMPT_IDS, "not a prefix")

    @Property(tries = 1, seed = "53")
    fun `Given token indexes that are ignored, then the oracle detects text out of order`() =
        assertDetected(StreamFault.IGNORES_TOKEN_INDEXES, "not a prefix")

    @Property(tries = 1, seed = "54")
    fun `Given an upstream that resumes at the first token, then the oracle detects duplicated text`() =
        assertDetected(StreamFault.RESUMES_AT_FIRST_TOKEN, "not a prefix")

    @Property(tries = 1, seed = "55")
    fun `Given a lost connection treated as the end, then the oracle detects an incomplete answer`() =
        assertDetected(StreamFault.TREATS_LOST_CONNECTION_AS_END, "end mark after")

    private fun assertDetected(fault: StreamFault, words: String) {
        val found = violations(chainsOf(StreamSimulation.OPS) { StreamSimulation(fault) }, FAULT_CHAINS, seed = 7)
        println("injected fault $fault: detected in ${found.size} of $FAULT_CHAINS chains, ${found.toSet().take(1)}")
        assertTrue(found.any { words in it }, "expected a violation with '$words', but the oracle reported $found")
    }

    companion object {
        private const val FAULT_CHAINS = 300
        private val totals = StreamTotals()

        @JvmStatic
        @AfterContainer
        fun report() {
            println("streams: $totals")
            assertTrue(totals.complete > 0, "no stream was complete: $totals")
        }
    }
}
