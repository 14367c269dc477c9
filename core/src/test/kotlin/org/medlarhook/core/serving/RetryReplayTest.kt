package org.medlarhook.core.serving

import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against repeats beyond the budget while most engines of a service fail, and against serving less for it. */
class RetryReplayTest {
    private class Compared(
        val failure: EngineFailure,
        val seed: Int,
    ) {
        val eachArrival = RetryReplay(RetryAccounting.EACH_ARRIVAL, failure, seed).play()
        val prefilledAgain = RetryReplay(RetryAccounting.EACH_ARRIVAL_PREFILLED_AGAIN, failure, seed).play()
        val eachFailure = RetryReplay(RetryAccounting.EACH_FAILURE, failure, seed).play()

        override fun toString(): String =
            "$failure, seed $seed: each arrival $eachArrival, prefills again $prefilledAgain, before $eachFailure"
    }

    private val compared =
        EngineFailure.entries.flatMap { failure -> (1..SEEDS).map { Compared(failure, it) } }.onEach { println(it) }

    @Test
    fun `Given engines that fail in turn, then all processes together keep to the budget`() {
        val beyond = compared.filter { it.eachArrival.excess > 0 }

        assertTrue(beyond.isEmpty(), "expected no window beyond the budget: $beyond")
    }

    @Test
    fun `Given engines that fail in turn, then no less is served than with a new prefill for each attempt`() {
        val worse = compared.filter { it.eachArrival.served < it.prefilledAgain.served }

        assertTrue(worse.isEmpty(), "expected as much as with new prefills within the budget: $worse")
    }

    private companion object {
        const val SEEDS = 5
    }
}
