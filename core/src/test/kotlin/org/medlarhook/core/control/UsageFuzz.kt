package org.medlarhook.core.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import org.medlarhook.ports.TableNames
import kotlin.test.assertTrue

/**
 * Under faults of processes, tables and platform, no receipt may be billed twice, get lost while a process holds it, or
 * change the figures of a window that is already reported.
 */
class UsageFuzz {
    @Provide
    internal fun chains() = chainsOf(UsageSimulation.STEP_KINDS) { UsageSimulation(totals = totals) }

    @Property(tries = 2_000, seed = "20261205")
    internal fun `Given faults of any kind, then each receipt is billed once and no window changes`(
        @ForAll("chains") chain: ActionChain<UsageSimulation>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given commits without the head row's condition, then the oracle finds a receipt billed twice`() =
        assertCaught("was billed") { UsageSimulation(setOf(TableNames.USAGE_BATCH, TableNames.EPOCH)) }

    @Example
    fun `Given windows frozen without any condition, then the oracle finds different figures`() =
        assertCaught("different figures") {
            UsageSimulation(setOf(TableNames.USAGE_BATCH, TableNames.EPOCH, TableNames.USAGE_WINDOW))
        }

    @Example
    fun `Given entries that keep no copies, then the oracle finds lost receipts`() =
        assertCaught("receipts were lost") { UsageSimulation(copies = false) }

    private fun assertCaught(expected: String, create: () -> UsageSimulation) =
        assertTrue(
            isCaught(expected, chainsOf(UsageSimulation.STEP_KINDS, create)),
            "the oracle reported no violation with '$expected'",
        )

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("usage: $totals")
    }
}
