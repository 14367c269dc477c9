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

    /** Returns when the waiting process first sends a write, if the lease row of the holder never changes again. */
    private fun acquiredAtMs(): Long {
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
        error("the lease was not acquired within 60 s")
    }

    @Test
    fun `Given a lost holder, when its row was first read, then the lease is taken over as soon as it is safe`() {
        val firstReadMs = settings.retryMs * 2
        val acquiredMs = acquiredAtMs()

        assertTrue(acquiredMs >= settings.takeOverAfterMs, "acquired after $acquiredMs ms; the holder may still act")
        assertTrue(acquiredMs <= firstReadMs + settings.takeOverAfterMs + TICK_MS, "acquired only after $acquiredMs ms")
    }

    private companion object {
        const val TICK_MS = 50L
    }
}
