package org.medlarhook.core.serving

import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

class RetryAfterPolicyTest {
    private val returnTime = RetryAfterPolicy(Random(7))

    @Test
    fun `Given a burst of callers turned away, then they are told no more than a third of their time and are spread`() {
        val waitsMs = (1..200).map { returnTime.retryAfterMs(remainingMs = 2_000, drainMs = 30.0) }

        assertTrue(waitsMs.all { it in 300..666 })
        assertTrue(waitsMs.max() - waitsMs.min() > 200)
    }

    @Test
    fun `Given work that drains late, then nobody is told to come before it`() {
        assertTrue((1..50).all { returnTime.retryAfterMs(remainingMs = 15_000, drainMs = 4_000.0) >= 4_000 })
    }

    @Test
    fun `Given a caller with hardly any time, then its wait stays short`() {
        assertTrue(returnTime.retryAfterMs(remainingMs = 30, drainMs = 500.0) <= 20)
    }
}
