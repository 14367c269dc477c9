package org.medlarhook.core.serving.usage

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class SharedClockChoiceTest {
    /** The store's clock equals the monotonic clock until a drill sets it; the shared clock is 1,000,000 ahead. */
    private fun sample(era: Long, setBackMs: Long = 0) = StoreClockSample(20_000 - setBackMs, 20_000, 20_000, era)

    private val before = SharedClockRow(offsetMs = 1_000_000, beganStoreMs = 1_000)
    private val witness = SharedClockState().agreed(before, StoreClockSample(5_000, 5_000, 5_000, era = 1))
    private val started = SharedClockState()

    private fun choice(
        state: SharedClockState,
        sample: StoreClockSample,
        current: SharedClockRow? = null,
        before: SharedClockRow? = this.before,
        noticedAtMs: Long = 19_000,
        wallGapMs: Long = 1_000_000,
    ) = SharedClockChoice.of(state, current, before, sample, noticedAtMs, wallGapMs)

    private fun written(choice: SharedClockChoice): SharedClockRow = assertIs<SharedClockChoice.Write>(choice).row

    @Test
    fun `Given a store without a row in the first era, then the wall clock gives the offset`() {
        assertEquals(
            SharedClockRow(offsetMs = 1_000_000),
            written(choice(started, sample(era = 0), before = null, noticedAtMs = 20_000)),
        )
    }

    @Test
    fun `Given a drill that sets the store's clock back, then a witness keeps shared clock and moment`() {
        val row = written(choice(witness, sample(era = 2, setBackMs = 8_000)))

        assertEquals(1_008_000, row.offsetMs)
        assertEquals(1_019_000 + SharedClockChoice.WITNESSED_MARGIN_MS, row.beganAtMs)
    }

    @Test
    fun `Given a process that starts in the drill, then it leaves the row to the witnesses at first`() {
        assertEquals(SharedClockChoice.Await, choice(started, sample(era = 2, setBackMs = 8_000)))
    }

    @Test
    fun `Given no witness of a drill that set the store's clock back, then the era begins late on the shared clock`() {
        val row = written(choice(started, sample(era = 2, setBackMs = 8_000), noticedAtMs = 18_000))

        assertEquals(1_008_000, row.offsetMs)
        assertEquals(1_018_000 + SharedClockChoice.UNWITNESSED_MARGIN_MS, row.beganAtMs)
    }

    @Test
    fun `Given no witness and a wall clock that jumped back, then the era begins after the sums from before`() {
        val row =
            written(
                choice(started, sample(era = 2, setBackMs = 8_000), noticedAtMs = 18_000, wallGapMs = 992_000),
            )

        assertTrue(row.beganAtMs!! >= 1_020_000, "the era begins at ${row.beganAtMs}")
    }

    @Test
    fun `Given a process in doubt over a drill, then it is no witness`() {
        val suspended = witness.observed(5_000, 1_005_000).observed(5_100, 1_009_000)

        assertEquals(SharedClockChoice.Await, choice(suspended, sample(era = 2)))
    }

    @Test
    fun `Given a row that a process with a slow clock has written, then a witness raises it with the beginning`() {
        val slow = SharedClockRow(offsetMs = 996_000, beganStoreMs = 19_500)

        val row = written(choice(witness, sample(era = 2), current = slow))

        assertEquals(1_000_000, row.offsetMs)
        assertEquals(1_019_500, row.beganAtMs)
    }

    @Test
    fun `Given a second drill at once, then its beginning is not before the one that a margin had put later`() {
        val unwitnessed = SharedClockRow(offsetMs = 1_000_000, beganStoreMs = 30_000)
        val state = SharedClockState().agreed(unwitnessed, StoreClockSample(19_000, 19_000, 19_000, era = 2))

        assertEquals(1_030_000, written(choice(state, sample(era = 3), before = null)).beganAtMs)
    }

    @Test
    fun `Given a sum by a process that was ahead of its row, then the beginning of the era is after it`() {
        val aheadMs = 999L
        val behindMs = 600L
        val slow = witness.copy(offsetMs = witness.offsetMs!! - behindMs)

        val row = written(choice(slow, sample(era = 2), noticedAtMs = 19_000))

        assertTrue(row.beganAtMs!! >= 1_019_000 + aheadMs, "the era begins at ${row.beganAtMs}")
    }
}
