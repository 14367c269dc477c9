package org.medlarhook.core.lease

import arrow.core.Either
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.fakes.ManualTimeSource
import org.medlarhook.ports.Committed
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.ports.Transaction
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** A holder whose monotonic clock does not count the time for which its VM is suspended. */
class SuspendedHolderTest {
    private val world = ManualTimeSource()
    private val tables = InMemoryTableService()
    private val settings =
        LeaseSettings(
            durationMs = 1_500,
            marginMs = 150,
            longestOutboundCallMs = 800,
            renewEveryMs = 500,
            watchEveryMs = 1_000,
            retryMs = 200,
        )

    private inner class StoppingTime : TimeSource {
        var suspendedMs = 0L
        var wallStepMs = 0L

        override fun monotonicMs(): Long = world.monotonicMs() - suspendedMs

        override fun wallMs(): Long = world.wallMs() + wallStepMs
    }

    private val time = StoppingTime()

    /** Runs before each write takes effect, in the place of what happens while the write is under way. */
    private var duringWrite: () -> Unit = {}
    private val holderTables = object : TableService by tables {
        override fun transact(transaction: Transaction): Either<TableFailure, Committed> =
            tables.transact(transaction).also { duringWrite() }
    }
    private val holder = LeaseManager(LeaseScope("usage"), "a", settings, holderTables, time)
    private val successor = LeaseManager(LeaseScope("usage"), "b", settings, tables, world)

    private fun run(durationMs: Long, vararg leases: LeaseManager) {
        repeat((durationMs / 50).toInt()) {
            leases.forEach { it.run() }
            world.advance(50)
        }
    }

    private fun mayAct(): Boolean = holder.authority()?.mayAct(time.monotonicMs()) == true

    private fun suspend(durationMs: Long) {
        run(durationMs, successor)
        time.suspendedMs += durationMs
    }

    @Test
    fun `Given a holder that is suspended until another one has taken over, then it may not act when it goes on`() {
        run(3_000, holder, successor)
        assertTrue(mayAct())
        suspend(5_000)

        assertTrue(successor.authority()?.mayAct(world.monotonicMs()) == true)
        assertFalse(mayAct())
    }

    @Test
    fun `Given a wall clock that jumped back by more than the suspension, then the holder may not act`() {
        run(3_000, holder, successor)
        time.wallStepMs = -8_000
        suspend(5_000)

        assertFalse(mayAct())
    }

    @Test
    fun `Given a suspension while a renewal is under way, then its answer gives no authority`() {
        run(3_000, holder, successor)
        duringWrite = {
            duringWrite = {}
            suspend(5_000)
        }
        repeat(20) {
            if (time.suspendedMs == 0L) {
                holder.step()
                world.advance(50)
            }
        }
        assertTrue(time.suspendedMs > 0, "no renewal was written")

        assertFalse(mayAct())
    }

    @Test
    fun `Given a wall clock that jumps without a suspension, then the holder acts again once it has renewed`() {
        run(3_000, holder, successor)
        time.wallStepMs = 8_000
        assertFalse(mayAct())
        run(500, holder, successor)

        assertTrue(mayAct())
    }
}
