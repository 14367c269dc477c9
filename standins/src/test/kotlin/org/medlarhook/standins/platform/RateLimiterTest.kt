package org.medlarhook.standins.platform

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class RateGateTest {
    @Test
    fun `Given a burst above the limit, then the rest is refused until time passes`() {
        val gate = RateGate(limitPerS = 10)
        assertTrue(gate.tryTake(10, NOW_NANOS))
        assertFalse(gate.tryTake(1, NOW_NANOS))
        assertTrue(gate.tryTake(1, NOW_NANOS + 100_000_000))
    }

    private companion object {
        const val NOW_NANOS = 5_000_000_000
    }
}
