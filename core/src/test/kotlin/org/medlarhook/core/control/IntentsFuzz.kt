package org.medlarhook.core.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import org.medlarhook.ports.TableNames
import kotlin.test.assertTrue

/** Under faults of processes, tables and platform, no intent may be executed twice, out of order or not at all. */
class IntentsFuzz {
    @Provide
    internal fun chains() = chainsOf(IntentsSimulation.STEP_KINDS) { IntentsSimulation(totals = totals) }

    @Property(tries = 2_000, seed = "20261204")
    internal fun `Given faults of any kind, then the platform executes each intent once and in order`(
        @ForAll("chains") chain: ActionChain<IntentsSimulation>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given writes without the epoch condition, then the oracle finds intents of a superseded holder`() =
        assertCaught("holds the lease") { IntentsSimulation(setOf(TableNames.EPOCH)) }

    @Example
    fun `Given writes without the intent row's condition, then the oracle finds an intent written too early`() =
        assertCaught("before the last one was executed") { IntentsSimulation(setOf(TableNames.INTENT)) }

    @Example
    fun `Given a platform that forgets idempotency keys, then the oracle finds a late repeated order`() =
        assertCaught("the platform executed") { IntentsSimulation(rememberedKeys = 1) }

    private fun assertCaught(expected: String, create: () -> IntentsSimulation) =
        assertTrue(
            isCaught(expected, chainsOf(IntentsSimulation.STEP_KINDS, create)),
            "the oracle reported no violation with '$expected'",
        )

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("intents: $totals")
    }
}
