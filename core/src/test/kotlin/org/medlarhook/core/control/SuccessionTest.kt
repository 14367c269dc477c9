package org.medlarhook.core.control

import org.junit.jupiter.api.Nested
import org.medlarhook.core.lease.LeaseSettings
import kotlin.test.Test
import kotlin.test.assertTrue

/** Limits the time without orders for a data centre after the lease holder stops or releases the lease. */
class SuccessionTest {
    private val settings = LeaseSettings()

    private fun worstMs(kind: StepKind): Long {
        val times = (0 until RUNS).map {
            OrdersSimulation(lossyHints = false).successionMs(kind, afterMs = 10_000 + it * 500L)
        }
        println("succession after $kind: runs=$RUNS worst=${times.max()} ms, median=${times.sorted()[RUNS / 2]} ms")
        return times.max()
    }

    @Nested
    inner class Order {
        @Test
        fun `Given a killed or paused holder, then a successor orders within the take-over time and two reads`() {
            val slowestClockMs = settings.takeOverAfterMs * 1_000 / 970
            val boundMs = slowestClockMs + 2 * settings.watchEveryMs * 12 / 10 + 1_000
            assertTrue(worstMs(StepKind.KILL) <= boundMs)
            assertTrue(worstMs(StepKind.PAUSE) <= boundMs)
        }

        @Test
        fun `Given a released lease, then a successor orders within one read`() {
            assertTrue(worstMs(StepKind.RELEASE_LEASE) <= settings.watchEveryMs * 12 / 10 + 1_000)
        }
    }

    private companion object {
        const val RUNS = 200
    }
}
