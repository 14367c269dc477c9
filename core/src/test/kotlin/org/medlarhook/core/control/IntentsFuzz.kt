package org.medlarhook.core.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import org.medlarhook.ports.TableNames
import kotlin.test.assertTrue

class IntentsFuzz {
    @Provide
    internal fun chains() = chainsOf(IntentsWorld.OPS) { IntentsWorld(totals = totals) }

    @Property(tries = 2_000, seed = "20261204")
    internal fun `Given faults of any kind, then the platform takes each intent once and in order`(
        @ForAll("chains") chain: ActionChain<IntentsWorld>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given writes without the epoch condition, then the oracle finds intents of a superseded process`() =
        assertCaught("is in charge") { IntentsWorld(setOf(TableNames.EPOCH)) }

    @Example
    fun `Given writes without the intent row's condition, then the oracle finds an intent written too early`() =
        assertCaught("before the last one had an effect") { IntentsWorld(setOf(TableNames.INTENT)) }

    @Example
    fun `Given a platform that forgets idempotency keys, then the oracle finds an order that was repeated late`() =
        assertCaught("the platform took") { IntentsWorld(rememberedKeys = 1) }

    private fun assertCaught(words: String, create: () -> IntentsWorld) =
        assertTrue(isCaught(words, chainsOf(IntentsWorld.OPS, create)), "the oracle caught nothing by '$words'")

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("intents: $totals")
    }
}
