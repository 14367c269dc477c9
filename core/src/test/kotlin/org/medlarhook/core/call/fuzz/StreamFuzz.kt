package org.medlarhook.core.call.fuzz

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import kotlin.test.assertTrue

class StreamFuzz {
    @Provide
    internal fun chains() = chainsOf(StreamWorld.OPS) { StreamWorld(totals = totals) }

    @Property(tries = 3_000, seed = "51")
    internal fun `Given events late, doubled or crossed, then a caller gets its own whole text or no end mark`(
        @ForAll("chains") chain: ActionChain<StreamWorld>,
    ) {
        finish(chain)
    }

    @Property(tries = 1, seed = "52")
    fun `Given attempt ids that are ignored, then the oracle finds foreign text`() =
        assertCaught(StreamFault.IGNORES_ATTEMPT_IDS, "not a prefix")

    @Property(tries = 1, seed = "53")
    fun `Given token indexes that are ignored, then the oracle finds text out of order`() =
        assertCaught(StreamFault.IGNORES_TOKEN_INDEXES, "not a prefix")

    @Property(tries = 1, seed = "54")
    fun `Given an upstream that starts again, then the oracle finds doubled text`() =
        assertCaught(StreamFault.RESUMES_AT_THE_START, "not a prefix")

    @Property(tries = 1, seed = "55")
    fun `Given a break taken for the end, then the oracle finds a short answer`() =
        assertCaught(StreamFault.TAKES_A_BREAK_FOR_THE_END, "the end mark after")

    private fun assertCaught(fault: StreamFault, words: String) {
        val found = violations(chainsOf(StreamWorld.OPS) { StreamWorld(fault) }, RED_CHAINS, seed = 7)
        println("$fault: ${found.size} of $RED_CHAINS chains caught, ${found.toSet().take(1)}")
        assertTrue(found.any { words in it }, "the oracle found only $found")
    }

    companion object {
        private const val RED_CHAINS = 300
        private val totals = StreamTotals()

        @JvmStatic
        @AfterContainer
        fun report() {
            println("streams: $totals")
            assertTrue(totals.whole > 0, "an empty proof")
        }
    }
}
