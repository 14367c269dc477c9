package org.medlarhook.core.routing

import org.junit.jupiter.api.Nested
import kotlin.math.exp
import kotlin.test.Test
import kotlin.test.assertEquals

class LoadTrackerTest {
    private val tracker = LoadTracker(SPEED, discountMs = 1_000.0)

    @Nested
    inner class Estimate {
        @Test
        fun `Given a report that counts own work, then own work counts once`() {
            val seen = tracker
                .started("u", WorkTokens(100, 10))
                .reported("u", LoadReport(WorkTokens(300, 30), requests = 3, SPEED, reportedAtMs = 0))
                .estimate("u", nowMs = 0)
            assertEquals(WorkTokens(300, 30), seen.work)
            assertEquals(3.0, seen.requests)
        }

        @Test
        fun `Given an old report, then others' work is discounted and own work is not`() {
            val seen = tracker
                .started("u", WorkTokens(100, 10))
                .reported("u", LoadReport(WorkTokens(1_100, 10), requests = 2, SPEED, reportedAtMs = 0))
                .reported("u", LoadReport(WorkTokens(9_000, 10), requests = 9, SPEED, reportedAtMs = -5))
                .estimate("u", nowMs = 2_000)
            assertEquals(100, seen.own.prefillTokens)
            assertEquals((1_000 * exp(-2.0)).toLong(), seen.others.prefillTokens)
        }

        @Test
        fun `Given progress and an end, then no work is left`() {
            val seen = tracker
                .started("u", WorkTokens(100, 10))
                .progressed("u", WorkTokens(100, 0))
                .ended("u", WorkTokens(0, 10))
                .estimate("u", nowMs = 0)
            assertEquals(LoadEstimate(speed = SPEED), seen)
        }
    }
}
