package org.medlarhook.core.serving

import org.medlarhook.core.serving.fleet.Endpoint
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamClosings
import org.medlarhook.core.serving.refuse.ReopeningWait
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class UpstreamClosingsTest {
    private val a = startedAt(1)
    private val closed = UpstreamClosings().closed(a, 1.5, spread = 0.0, nowMs = 1_000, nowWallMs = NOW_WALL_MS)

    private fun startedAt(startedAtMs: Long, id: String = "a", port: Int = 1): Upstream =
        upstream(id).copy(startedAtMs = startedAtMs, address = Endpoint("10.0.0.1", port))

    private fun UpstreamClosings.closed(upstream: Upstream, seconds: Double, spread: Double, nowMs: Long) =
        closed(upstream, seconds, spread, nowMs, NOW_WALL_MS)

    @Test
    fun `Given an upstream that is closed for some time, then it opens at the end of that time and not before`() {
        assertTrue(closed.isClosed(a, 2_499))
        assertFalse(closed.isClosed(a, 2_500))
    }

    @Test
    fun `Given an upstream that is closed, then one that starts later at its address is open`() {
        val laterMs = NOW_WALL_MS + UpstreamClosings.CLOCK_MARGIN_MS + 1
        assertFalse(closed.isClosed(startedAt(laterMs), 1_001))
        assertFalse(closed.isClosed(startedAt(laterMs, id = "b"), 1_001))
    }

    @Test
    fun `Given a closing, then it holds for starts at its address that had begun before and were registered later`() {
        assertTrue(closed.isClosed(startedAt(NOW_WALL_MS - 1), 1_001))
        assertTrue(closed.isClosed(startedAt(NOW_WALL_MS - 1, id = "b"), 1_001))
        assertFalse(closed.isClosed(startedAt(1, port = 2), 1_001))
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
        val both = closed.closed(startedAt(1, id = "b", port = 2), 0.5, spread = 0.0, nowMs = 1_000)

        assertEquals(400, both.opensInMs(listOf(a, startedAt(1, id = "b", port = 2)), 1_100))
        assertNull(both.opensInMs(listOf(a, startedAt(1, id = "c", port = 3)), 1_100))
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

    private companion object {
        const val NOW_WALL_MS = 1_700_000_000_000L
    }
}
