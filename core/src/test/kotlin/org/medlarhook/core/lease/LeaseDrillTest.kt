package org.medlarhook.core.lease

import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.ports.RowKey
import org.medlarhook.ports.TableNames
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class LeaseDrillTest {
    private class Process(
        val name: String,
        val view: DrilledTables.View,
        val lease: LeaseManager,
    ) {
        var isRunning = true
    }

    private val time = ManualTimeSource()
    private val tables = DrilledTables(time)
    private val settings =
        LeaseSettings(
            durationMs = 1_500,
            marginMs = 150,
            longestOutboundCallMs = 800,
            renewEveryMs = 500,
            watchEveryMs = 1_000,
            retryMs = 200,
        )
    private val processes = listOf("a", "b", "c").map { newProcess(it) }

    /** The epochs under which processes could act, with the process, in order. */
    private val acted = ArrayList<Pair<Long, String>>()

    private fun newProcess(name: String): Process {
        val view = tables.View()
        return Process(name, view, LeaseManager(LeaseScope("usage"), name, settings, view, time, { view.knownEra }))
    }

    private fun Process.authority(): Authority? =
        lease.authority()?.takeIf { isRunning && it.mayAct(time.monotonicMs()) }

    /** Runs all processes for [durationMs]; fails as soon as two may act at once. */
    private fun run(durationMs: Long) {
        repeat((durationMs / TICK_MS).toInt()) {
            processes.filter { it.isRunning }.forEach { it.lease.run() }
            val holders = processes.filter { it.authority() != null }
            assertTrue(holders.size <= 1, "${holders.map { it.name }} may act at once")
            holders.forEach { acted += it.authority()!!.epoch to it.name }
            time.advance(TICK_MS)
        }
    }

    private fun holder(): Process = processes.single { it.authority() != null }

    private fun assertEpochsRise() {
        assertEquals(
            acted.map {
                it.first
            }.sorted(),
            acted.map { it.first },
            "epochs that went back: ${acted.distinct()}",
        )
        assertEquals(acted.distinct().size, acted.map { it.first }.distinct().size, "shared: ${acted.distinct()}")
    }

    @Test
    fun `Given a lost take-over, then the epochs of all later holders are higher than any before the drill`() {
        run(8_000)
        holder().isRunning = false
        run(4_000)
        val second = holder()
        tables.restore(agoMs = 3_500)
        second.isRunning = false
        run(10_000)

        assertTrue(holder() !== second)
        assertEpochsRise()
        assertEquals(3, acted.distinct().size)
    }

    @Test
    fun `Given a holder that does not hear of the drill, then nobody acts until its lease is over`() {
        run(8_000)
        val cutOff = holder()
        cutOff.view.isReachable = false
        tables.restore(agoMs = 6_000)
        run(6_000)

        assertTrue(holder() !== cutOff)
        cutOff.view.isReachable = true
        run(6_000)
        assertEpochsRise()
    }

    @Test
    fun `Given an answer of a new era, then the holder may not act from then on`() {
        run(8_000)
        val holder = holder()
        tables.restore(agoMs = 0)
        holder.view.read(RowKey("t", "k"))

        assertNull(holder.lease.authority())
    }

    @Test
    fun `Given two drills soon after each other, then one process holds the lease in the last era`() {
        run(8_000)
        tables.restore(agoMs = 2_000)
        run(2_700)
        tables.restore(agoMs = 2_000)
        run(200)
        tables.restore(agoMs = 100)
        run(6_000)

        assertEquals(4, assertNotNull(holder().lease.authority()).epoch shr EPOCHS_OF_ERA_BITS)
        assertEpochsRise()
    }

    @Test
    fun `Given a drill while the release is under way, then the process does not acquire the lease again`() {
        run(8_000)
        val holder = holder()
        holder.view.isReachable = false
        holder.lease.release()
        tables.restore(agoMs = 0)
        holder.view.isReachable = true
        run(8_000)

        assertTrue(holder() !== holder)
        assertEquals(LeaseState.Released::class, holder.lease.state::class)
    }

    @Test
    fun `Given tables without eras, then rows and epochs are named as before`() {
        val scope = LeaseScope("usage")

        assertEquals(RowKey(TableNames.LEASE, "usage"), scope.leaseKey)
        assertEquals(0, scope.epochBefore)
    }

    private companion object {
        const val TICK_MS = 50L
        const val EPOCHS_OF_ERA_BITS = 32
    }
}
