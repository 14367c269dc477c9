package org.medlarhook.core.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import org.medlarhook.ports.TableNames
import kotlin.test.assertTrue

class UsageFuzz {
    @Provide
    internal fun chains() = chainsOf(UsageWorld.OPS) { UsageWorld(totals = totals) }

    @Property(tries = 2_000, seed = "20261205")
    internal fun `Given faults of any kind, then each receipt is billed once and no window changes`(
        @ForAll("chains") chain: ActionChain<UsageWorld>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given commits without the head row's condition, then the oracle finds a receipt billed twice`() =
        assertCaught("was billed") { UsageWorld(setOf(TableNames.USAGE_BATCH, TableNames.EPOCH)) }

    @Example
    fun `Given windows frozen without any condition, then the oracle finds different figures`() =
        assertCaught("different figures") {
            UsageWorld(setOf(TableNames.USAGE_BATCH, TableNames.EPOCH, TableNames.USAGE_WINDOW))
        }

    @Example
    fun `Given entries that keep no copies, then the oracle finds lost receipts`() =
        assertCaught("receipts were lost") { UsageWorld(copies = false) }

    private fun assertCaught(words: String, create: () -> UsageWorld) =
        assertTrue(isCaught(words, chainsOf(UsageWorld.OPS, create)), "the oracle caught nothing by '$words'")

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("usage: $totals")
    }
}
