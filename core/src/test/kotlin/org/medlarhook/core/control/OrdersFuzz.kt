package org.medlarhook.core.control

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.lifecycle.AfterContainer
import net.jqwik.api.state.ActionChain
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.order.ApplierSettings
import org.medlarhook.ports.TableNames
import kotlin.test.assertTrue

class OrdersFuzz {
    @Provide
    internal fun chains() = chainsOf(OrdersWorld.OPS) { OrdersWorld(totals = totals) }

    @Property(tries = 3_000, seed = "20261203")
    internal fun `Given faults of any kind, then no engine gets conflicting orders`(
        @ForAll("chains") chain: ActionChain<OrdersWorld>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given a successor that does not wait, then the oracle finds two in charge`() {
        val hasty = LeaseSettings(durationMs = 3_200, renewEveryMs = 2_000, longestOutboundCallMs = 0)
        assertCaught("two processes are in charge") {
            OrdersWorld(leaseSettings = { if (it == 0) hasty else LeaseSettings() })
        }
    }

    @Example
    fun `Given writes without the epoch condition, then the oracle finds orders of a superseded process`() =
        assertCaught("is in charge") { OrdersWorld(ignoredConditions = setOf(TableNames.EPOCH)) }

    @Example
    fun `Given writes without the order row's condition, then the oracle finds a conflict`() =
        assertCaught("generation") { OrdersWorld(ignoredConditions = setOf(TableNames.ORDER)) }

    @Example
    fun `Given a sidecar that does not wait for lost calls, then the oracle finds an old order behind a new one`() =
        assertCaught("the engine saw generation") { OrdersWorld(applierSettings = ApplierSettings(engineSettleMs = 0)) }

    private fun assertCaught(words: String, create: () -> OrdersWorld) =
        assertTrue(isCaught(words, chainsOf(OrdersWorld.OPS, create)), "the oracle caught nothing by '$words'")

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("orders: $totals")
    }
}
