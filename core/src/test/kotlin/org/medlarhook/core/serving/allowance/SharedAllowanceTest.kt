package org.medlarhook.core.serving.allowance

import org.medlarhook.core.serving.allowance.AllowanceReplay.Companion.BOUND
import org.medlarhook.core.serving.allowance.AllowanceReplay.Companion.LIMITS
import org.medlarhook.core.serving.allowance.AllowanceReplay.Companion.PER_S
import org.medlarhook.core.serving.allowance.AllowanceReplay.Mode
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays demand on an allowance that twenty processes divide. */
class SharedAllowanceTest {
    private val even: (Int) -> Double = { 4 * PER_S / PROCESSES }
    private val atOne: (Int) -> Double = { if (it == 0) 4 * PER_S else 0.0 }
    private val atAnother: (Int) -> Double = { if (it == 7) 4 * PER_S else 0.0 }
    private val usual: (Int) -> Double = { 0.5 * PER_S / PROCESSES }

    private fun replay(mode: Mode = Mode.SHARED) = AllowanceReplay(PROCESSES, mode).apply { run(5_000) { 0.0 } }

    private fun AllowanceReplay.usedShare(forMs: Long, askedPerS: (Int) -> Double): Double =
        run(forMs, askedPerS) / (PER_S * forMs / 1_000)

    private fun assertBelowBound(replay: AllowanceReplay) {
        assertTrue(replay.busiestWindow() < BOUND, "${replay.busiestWindow()} units in a window, expected below $BOUND")
    }

    @Test
    fun `Given even demand over the allowance, then nine tenths of it are used and the bound is kept`() {
        val replay = replay()
        assertTrue(replay.usedShare(20_000, even) >= 0.9)
        assertBelowBound(replay)
        assertTrue(replay(Mode.EACH_WHOLE).run { usedShare(20_000, even) > 2 && busiestWindow() > BOUND })
    }

    @Test
    fun `Given all demand at one process, then it uses more than with equal shares, and follows demand elsewhere`() {
        val replay = replay()
        assertTrue(replay.usedShare(20_000, atOne) >= 0.8)
        assertTrue(replay.usedShare(20_000, atAnother) >= 0.8)
        assertBelowBound(replay)
        assertTrue(replay(Mode.EQUAL_SHARES).usedShare(20_000, atOne) < 0.2)
    }

    @Test
    fun `Given demand below the allowance, then none of it is refused`() {
        assertEquals(0.5, replay().apply { run(5_000, usual) }.usedShare(30_000, usual), 0.02)
    }

    @Test
    fun `Given usual demand that rises tenfold at once, then the bound is kept`() {
        assertBelowBound(replay().apply { run(20_000, usual) }.apply { run(20_000) { 10 * usual(it) } })
    }

    @Test
    fun `Given processes that are cut off, then the sum stays in the bound, and those that hear each other go on`() {
        val one = replay().apply { cutOff(0) }
        assertTrue(one.usedShare(20_000, even) >= 0.8)
        assertBelowBound(one)
        assertBelowBound(replay().apply { repeat(PROCESSES) { cutOff(it) } }.apply { run(20_000, even) })
    }

    @Test
    fun `Given restarts of all processes, then there is no second burst`() {
        val replay = replay().apply { run(8_000, even) }
        repeat(PROCESSES) { replay.restart(it) }
        replay.run(20_000, even)
        assertBelowBound(replay)
    }

    @Test
    fun `Given a lower limit, then a window that begins with it keeps the new bound`() {
        val replay = replay().apply { run(10_000, even) }
        replay.limit(AllowanceLimits(PER_S / 4, LIMITS.capacity / 4))
        assertTrue(replay.run(20_000, even) >= 0.9 * 20 * PER_S / 4)
        assertTrue(replay.busiestWindow(fromMs = 15_000) < (PER_S / 4 * 9) * 1.1 + 120_000)
    }

    private companion object {
        const val PROCESSES = 20
    }
}
