package org.medlarhook.core.serving.usage

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class SharedClockStateTest {
    private val row = SharedClockRow(offsetMs = 1_000_000)

    /** At 0 on the monotonic clock the store's clock is 50,000 and the wall clock 1,050,000. */
    private val agreed =
        SharedClockState().observed(nowMs = 0, wallMs = 1_050_000).agreed(row, StoreClockSample(50_005, 0, 10))

    @Test
    fun `Given clocks that run together, then the process stays sure`() {
        val later = agreed.observed(nowMs = 9_000, wallMs = 1_059_100).observed(StoreClockSample(59_020, 9_000, 9_010))

        assertTrue(later.isSure)
        assertEquals(1_050_000, later.offsetMs)
    }

    @Test
    fun `Given a suspension that the monotonic clock does not count, then the wall clock raises a doubt`() {
        assertFalse(agreed.observed(nowMs = 100, wallMs = 1_055_100).isSure)
    }

    @Test
    fun `Given a wall clock that jumps back by more than a suspension lasted, then the process is in doubt`() {
        assertFalse(agreed.observed(nowMs = 100, wallMs = 1_048_100).isSure)
    }

    @Test
    fun `Given a suspension that the wall clock hides, then the store's clock raises a doubt`() {
        val resumed = agreed.observed(nowMs = 100, wallMs = 1_050_100)

        assertTrue(resumed.isSure)
        assertFalse(resumed.observed(StoreClockSample(55_110, 100, 110)).isSure)
    }

    @Test
    fun `Given a slow answer of the store, then it raises no doubt`() {
        assertTrue(agreed.observed(StoreClockSample(50_750, 0, 780)).isSure)
        assertTrue(agreed.observed(StoreClockSample(50_020, 0, 780)).isSure)
    }

    @Test
    fun `Given an answer of another era, whose clock may have been set, then it raises no doubt`() {
        assertTrue(agreed.observed(StoreClockSample(10, 100, 110, era = 1)).isSure)
    }

    @Test
    fun `Given a doubt, when the processes agree again, then the shared clock has gone on by the suspension`() {
        val again = agreed.observed(nowMs = 100, wallMs = 1_055_100).agreed(row, StoreClockSample(55_105, 100, 110))

        assertTrue(again.isSure)
        assertEquals(1_055_000, again.offsetMs)
    }

    @Test
    fun `Given a row that is behind the process, then its shared clock does not go back`() {
        val again = agreed.agreed(SharedClockRow(offsetMs = 996_000), StoreClockSample(50_105, 100, 110))

        assertEquals(agreed.offsetMs, again.offsetMs)
    }
}
