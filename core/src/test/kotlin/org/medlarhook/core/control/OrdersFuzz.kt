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

/**
 * Under faults of processes, tables and engines, an engine must not execute an old order after a new one, an order that
 * is not in the tables, or the order of an entry that has lost its lease.
 */
class OrdersFuzz {
    @Provide
    internal fun chains() = chainsOf(OrdersSimulation.STEP_KINDS) { OrdersSimulation(totals = totals) }

    @Property(tries = 3_000, seed = "20261203")
    internal fun `Given faults of any kind, then no engine gets conflicting orders`(
        @ForAll("chains") chain: ActionChain<OrdersSimulation>,
    ) {
        finish(chain)
    }

    @Example
    fun `Given a successor that does not wait long enough, then the oracle finds two lease holders`() {
        val shortLease = LeaseSettings(durationMs = 3_200, renewEveryMs = 2_000, longestOutboundCallMs = 0)
        assertCaught("two processes hold the lease") {
            OrdersSimulation(leaseSettings = { if (it == 0) shortLease else LeaseSettings() })
        }
    }

    @Example
    fun `Given writes without the epoch condition, then the oracle finds orders of a superseded holder`() =
        assertCaught("holds the lease") { OrdersSimulation(ignoredConditions = setOf(TableNames.EPOCH)) }

    @Example
    fun `Given writes without the order row's condition, then the oracle finds a conflict`() =
        assertCaught("generation") { OrdersSimulation(ignoredConditions = setOf(TableNames.ORDER)) }

    @Example
    fun `Given a sidecar that does not wait for lost calls, then the oracle finds an old order after a new one`() =
        assertCaught("the engine executed generation") {
            OrdersSimulation(applierSettings = ApplierSettings(engineSettleMs = 0))
        }

    private fun assertCaught(expected: String, create: () -> OrdersSimulation) =
        assertTrue(
            isCaught(expected, chainsOf(OrdersSimulation.STEP_KINDS, create)),
            "the oracle reported no violation with '$expected'",
        )

    companion object {
        private val totals = Totals()

        @JvmStatic
        @AfterContainer
        fun report() = println("orders: $totals")
    }
}
