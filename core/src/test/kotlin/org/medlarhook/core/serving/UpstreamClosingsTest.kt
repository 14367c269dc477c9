package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.UpstreamClosings
import org.medlarhook.core.serving.refuse.ReopeningWait
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class UpstreamClosingsTest {
    private val a = Incarnation("a", 1)
    private val closed = UpstreamClosings().closed(a, 1.5, spread = 0.0, nowMs = 1_000)

    @Test
    fun `Given an upstream that is closed for some time, then it opens at the end of that time and not before`() {
        assertTrue(closed.isClosed(a, 2_499))
        assertFalse(closed.isClosed(a, 2_500))
    }

    @Test
    fun `Given an upstream that is closed, then its successor under the same id is open`() {
        assertFalse(closed.isClosed(Incarnation("a", 2), 1_001))
    }

    @Test
    fun `Given any spread, then an upstream opens at most a tenth later than it asked`() {
        val latest = UpstreamClosings().closed(a, 1.5, spread = 1.0, nowMs = 1_000)

        assertTrue(latest.isClosed(a, 2_500))
        assertFalse(latest.isClosed(a, 2_650))
    }

    @Test
    fun `Given a later answer with a shorter time, then the earlier time still holds`() {
        assertTrue(closed.closed(a, 0.1, spread = 0.0, nowMs = 1_100).isClosed(a, 2_499))
        assertTrue(closed.closed(a, 0.0, spread = 0.0, nowMs = 1_100).isClosed(a, 2_499))
    }

    @Test
    fun `Given times of any size, then they are rounded up and bounded`() {
        val closedMs = listOf(0.0, -2.0, Double.NaN, 0.0001, 0.25, 1e300, Double.POSITIVE_INFINITY)
            .map { UpstreamClosings.boundedMs(it) }

        assertEquals(listOf(0, 0, 0, 1, 250, UpstreamClosings.MAX_CLOSED_MS, UpstreamClosings.MAX_CLOSED_MS), closedMs)
    }

    @Test
    fun `Given some closed upstreams, then the first that opens counts, and none if one is open`() {
        val both = closed.closed(Incarnation("b", 1), 0.5, spread = 0.0, nowMs = 1_000)

        assertEquals(400, both.opensInMs(listOf(upstream("a"), upstream("b")), 1_100))
        assertNull(both.opensInMs(listOf(upstream("a"), upstream("c")), 1_100))
        assertNull(both.opensInMs(emptyList(), 1_100))
    }

    @Test
    fun `Given closings that are over, then they are dropped`() {
        assertEquals(UpstreamClosings(), closed.prune(2_500))
        assertEquals(closed, closed.prune(2_499))
    }

    @Test
    fun `Given a request, then it waits only for an upstream that opens in time for its answer`() {
        assertEquals(300, ReopeningWait.waitMs(opensInMs = 300, remainingMs = 1_000, spread = 0.0))
        assertEquals(400, ReopeningWait.waitMs(opensInMs = 300, remainingMs = 1_000, spread = 1.0))
        assertEquals(310, ReopeningWait.waitMs(opensInMs = 300, remainingMs = 360, spread = 1.0))
        assertNull(ReopeningWait.waitMs(opensInMs = 300, remainingMs = 349, spread = 0.0))
    }
}
