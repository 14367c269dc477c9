package org.medlarhook.core.serving.usage

import kotlin.test.Test
import kotlin.test.assertEquals

class StoreClockSampleTest {
    @Test
    fun `Given a call that took 40 ms, then its answer counts as of the middle of that time`() {
        assertEquals(4_980, StoreClockSample(storeMs = 5_000, sentAtMs = 0, answeredAtMs = 40).storeMinusMonotonicMs)
    }
}
