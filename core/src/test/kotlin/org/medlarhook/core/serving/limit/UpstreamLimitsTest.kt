package org.medlarhook.core.serving.limit

import org.medlarhook.core.serving.fleet.Incarnation
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class UpstreamLimitsTest {
    private val engine = Incarnation("engine", 1)

    private fun share(rank: Int = 0, processes: Int = 1, freshUntilMs: Long = Long.MAX_VALUE) =
        ProcessShare(rank, processes, clockOffsetMs = 1_700_000_000_123, freshUntilMs)

    private fun limits(perS: Double, share: ProcessShare? = share()) =
        UpstreamLimits().withShare(share).said(engine, perS, asOfMs = 0)

    /** Sends whenever this is permitted, at each millisecond until [untilMs], and returns when. */
    private fun sentBy(limits: UpstreamLimits, untilMs: Long): List<Long> {
        var current = limits
        return (1..untilMs).filter { nowMs ->
            val next = current.withdraw(engine, nowMs)
            current = next ?: current
            next != null
        }
    }

    private fun mostIn4S(sentMs: List<Long>): Int = sentMs.maxOfOrNull { start ->
        sentMs.count { it in start..<start + 4_000 }
    } ?: 0

    private fun opensInMs(limits: UpstreamLimits, nowMs: Long): Long = limits.openings(engine, nowMs).first() - nowMs

    @Test
    fun `Given processes that send whenever they may, then together they send what the limit allows and no more`() {
        listOf(0.3, 1.4, 3.0, 11.7, 250.0).forEach { perS ->
            listOf(1, 6, 30, 300).forEach { processes ->
                val sent = (0..<processes).flatMap { sentBy(limits(perS, share(it, processes)), 20_000) }.sorted()

                assertTrue(mostIn4S(sent) <= 5 * perS + 1, "$perS a second, $processes processes: ${mostIn4S(sent)}")
                assertTrue(sent.size >= 20 * perS - 2, "$perS a second, $processes processes: ${sent.size} in 20 s")
            }
        }
    }

    @Test
    fun `Given turns that were not used, then those of the last second remain`() {
        var limits = limits(perS = 10.0)
        val taken = generateSequence { limits.withdraw(engine, 60_000)?.also { limits = it } }.count()

        assertEquals(10, taken)
    }

    @Test
    fun `Given no share of the limit, then nothing is sent, and without a limit anything`() {
        assertNull(limits(perS = 10.0, share = null).withdraw(engine, 60_000))
        assertNotNull(UpstreamLimits().withdraw(engine, 60_000))
        assertNotNull(limits(perS = 10.0).withdraw(Incarnation("engine", 2), 60_000))
    }

    @Test
    fun `Given a list of processes that is not fresh, then a quarter of the share is used`() {
        val stale = limits(perS = 8.0, share = share(freshUntilMs = 0))

        assertEquals(40, sentBy(stale, 20_000).size, "in 20 s at 8 a second")
    }

    @Test
    fun `Given a limit of zero, then a request is still sent now and then, which learns of its end`() {
        val sent = sentBy(limits(perS = 0.0), 20_000)

        assertEquals(5, sent.size, "in 20 s at one in 4 s")
    }

    @Test
    fun `Given a limit beyond all bounds, then requests are sent at once`() {
        assertTrue(opensInMs(limits(perS = 1e300, share = share(processes = 300)), 5_000) <= 1)
    }

    @Test
    fun `Given statements out of order, then the latest holds`() {
        val ended = limits(perS = 2.0).said(engine, null, asOfMs = 100)

        assertNull(ended.said(engine, 2.0, asOfMs = 99).perS(engine))
        assertEquals(3.0, ended.said(engine, 3.0, asOfMs = 101).perS(engine))
        assertNull(ended.prune(emptySet()).perS(engine))
    }

    @Test
    fun `Given requests that wait, then each has a turn of its own`() {
        val openings = listOf(limits(perS = 1.0), limits(perS = 2.0)).map { it.openings(engine, 10_000) }
        val inOrder = openings.flatMap { it.take(20).toList() }.sorted()

        assertEquals(inOrder.take(10), List(10) { TurnQueue.openingOf(openings, ahead = it) })
        assertNull(TurnQueue.openingOf(emptyList(), ahead = 3))
    }
}
