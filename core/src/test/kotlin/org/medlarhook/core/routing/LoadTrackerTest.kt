package org.medlarhook.core.routing

import org.junit.jupiter.api.Nested
import kotlin.math.exp
import kotlin.test.Test
import kotlin.test.assertEquals

class LoadTrackerTest {
    private val tracker = LoadTracker(SPEED, decayMs = 1_000.0)

    @Nested
    inner class Estimate {
        @Test
        fun `Given a report that includes own work, then own work counts once`() {
            val estimated = tracker
                .started("u", WorkTokens(100, 10))
                .reported("u", LoadReport(WorkTokens(300, 30), requests = 3, SPEED, reportedAtMs = 0))
                .estimate("u", nowMs = 0)
            assertEquals(WorkTokens(300, 30), estimated.work)
            assertEquals(3.0, estimated.requests)
        }

        @Test
        fun `Given an old report, then the work of others is discounted and own work is not`() {
            val estimated = tracker
                .started("u", WorkTokens(100, 10))
                .reported("u", LoadReport(WorkTokens(1_100, 10), requests = 2, SPEED, reportedAtMs = 0))
                .reported("u", LoadReport(WorkTokens(9_000, 10), requests = 9, SPEED, reportedAtMs = -5))
                .estimate("u", nowMs = 2_000)
            assertEquals(100, estimated.own.prefillTokens)
            assertEquals((1_000 * exp(-2.0)).toLong(), estimated.others.prefillTokens)
        }

        @Test
        fun `Given finished prefill and the end of the request, then no work is left`() {
            val estimated = tracker
                .started("u", WorkTokens(100, 10))
                .progressed("u", WorkTokens(100, 0))
                .ended("u", WorkTokens(0, 10))
                .estimate("u", nowMs = 0)
            assertEquals(LoadEstimate(speed = SPEED), estimated)
        }
    }
}
