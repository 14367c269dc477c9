package org.medlarhook.standins.platform

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RateLimiterTest {
    @Test
    fun `Given a burst above the limit, then the excess is refused until tokens are refilled`() {
        val limiter = RateLimiter(limitPerS = 10)
        assertTrue(limiter.tryAcquire(10, NOW_NANOS))
        assertFalse(limiter.tryAcquire(1, NOW_NANOS))
        assertTrue(limiter.tryAcquire(1, NOW_NANOS + 100_000_000))
    }

    private companion object {
        const val NOW_NANOS = 5_000_000_000
    }
}
