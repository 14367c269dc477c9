package org.medlarhook.entry.http

import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.shutdown.ShutdownWindow
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class DrainStateTest {
    private val state = DrainState { true }
    private val window = ShutdownWindow(startedAtMs = 1_000, endsAtMs = 5_000)

    @Test
    fun `Given no drain, then a request is accepted whatever its deadline`() {
        assertTrue(state.isReady)
        assertNull(state.refusal())
        assertNull(state.refusal(receivedAtMs = 2_000, deadlineAtMs = 600_000))
    }

    @Test
    fun `Given a drain, then a request received since its start is refused if its deadline lies after its end`() {
        state.reportNotReady(window)

        assertFalse(state.isReady)
        assertNull(state.refusal())
        assertNull(state.refusal(receivedAtMs = 1_000, deadlineAtMs = 5_000))
        assertEquals(ResultCode.DRAINING, state.refusal(receivedAtMs = 1_000, deadlineAtMs = 5_001)?.code)
    }

    @Test
    fun `Given a drain, then a request received before it is accepted although its body arrives later`() {
        state.reportNotReady(window)

        assertNull(state.refusal(receivedAtMs = 999, deadlineAtMs = 600_000))
    }
}
