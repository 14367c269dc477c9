package org.medlarhook.core.serving.usage

import kotlin.test.Test
import kotlin.test.assertEquals

class SumPermissionTest {
    private fun permission(windowEndMs: Long, eraStartedAtMs: Long?, nowMs: Long) =
        SumPermission.of(windowEndMs, settleMs = 2_000, eraStartedAtMs, nowMs)

    @Test
    fun `Given a store without a drill, then each sum may be formed`() {
        assertEquals(SumPermission.GRANTED, permission(windowEndMs = 0, eraStartedAtMs = null, nowMs = 2_000))
    }

    @Test
    fun `Given a window that could be summed up before the drill, then no other sum is formed at any time`() {
        listOf(10_000L, 14_000L, 1_000_000L).forEach { nowMs ->
            assertEquals(
                SumPermission.SUM_MAY_BE_LOST,
                permission(windowEndMs = 8_000, eraStartedAtMs = 10_000, nowMs = nowMs),
            )
        }
    }

    @Test
    fun `Given a process whose clock is behind by 900 ms, then a sum that it formed before the drill counts too`() {
        val windowEndMs = 8_900L
        val formedAtMs = windowEndMs + 2_000 - 900

        assertEquals(
            SumPermission.SUM_MAY_BE_LOST,
            permission(windowEndMs, eraStartedAtMs = formedAtMs, nowMs = 20_000),
        )
    }

    @Test
    fun `Given a window that ended too late for a sum before the drill, then the counts are awaited first`() {
        assertEquals(
            SumPermission.AWAITING_COUNTS,
            permission(windowEndMs = 9_500, eraStartedAtMs = 10_000, nowMs = 13_900),
        )
        assertEquals(SumPermission.GRANTED, permission(windowEndMs = 9_500, eraStartedAtMs = 10_000, nowMs = 14_000))
    }
}
