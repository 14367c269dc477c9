package org.medlarhook.core.lease

import org.medlarhook.core.row.RowJson
import org.medlarhook.ports.Row
import kotlin.test.Test
import kotlin.test.assertIs
import kotlin.test.assertTrue

class LeaseTakeOverTest {
    private val scope = LeaseScope("usage")
    private val settings =
        LeaseSettings(durationMs = 3_000, marginMs = 300, longestOutboundCallMs = 800, renewEveryMs = 1_000)
    private val machine = LeaseMachine(scope, "b", settings)
    private val lease = Row(scope.leaseKey, RowJson.encode(LeaseRow("a", 1, "a/0")), version = 7)

    /** The first time at which the waiting process asks to write, if the holder's row never changes again. */
    private fun takenAtMs(): Long {
        var state = machine.start(nowMs = 0)
        var nowMs = 0L
        while (nowMs < 60_000) {
            val step = machine.next(state, LeaseEvent.Tick, nowMs)
            state = step.state
            if (step.action == LeaseAction.ReadRows) {
                val next = machine.next(state, LeaseEvent.RowsRead(lease, epoch = null, mayAcquire = true), nowMs)
                state = next.state
                if (next.action != null) {
                    assertIs<LeaseAction.Send>(next.action)
                    return nowMs
                }
            }
            nowMs += TICK_MS
        }
        error("the lease was never taken")
    }

    @Test
    fun `Given a holder that is lost, when the row was first seen, then it is taken as soon as it may be`() {
        val firstReadMs = settings.retryMs * 2
        val at = takenAtMs()

        assertTrue(at >= settings.takeOverAfterMs, "taken after $at ms, while the holder may still act")
        assertTrue(at <= firstReadMs + settings.takeOverAfterMs + TICK_MS, "taken only after $at ms")
    }

    private companion object {
        const val TICK_MS = 50L
    }
}
