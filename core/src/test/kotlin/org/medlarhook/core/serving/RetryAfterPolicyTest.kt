package org.medlarhook.core.serving

import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class RetryAfterPolicyTest {
    private val policy = RetryAfterPolicy(Random(7))

    @Test
    fun `Given a burst of refused callers, then their waits are spread and at most a third of their remaining time`() {
        val waitsMs = (1..200).map { policy.retryAfterMs(remainingMs = 2_000, drainMs = 30.0) }

        assertTrue(waitsMs.all { it in 300..666 })
        assertTrue(waitsMs.max() - waitsMs.min() > 200)
    }

    @Test
    fun `Given work that drains late, then no caller retries before it has drained`() {
        assertTrue((1..50).all { policy.retryAfterMs(remainingMs = 15_000, drainMs = 4_000.0) >= 4_000 })
    }

    @Test
    fun `Given a caller with hardly any time left, then its wait is short`() {
        assertTrue(policy.retryAfterMs(remainingMs = 30, drainMs = 500.0) <= 20)
    }
}
