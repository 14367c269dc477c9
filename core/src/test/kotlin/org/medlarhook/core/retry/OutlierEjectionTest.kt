package org.medlarhook.core.retry

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class OutlierEjectionTest {
    private val settings = EjectionSettings()

    private fun failing(from: OutlierEjection, nowMs: Long): OutlierEjection =
        (1..settings.consecutiveFailures).fold(from) { ejection, _ -> ejection.failed("u", 4, nowMs) }

    @Nested
    inner class Ejection {
        @Test
        fun `Given consecutive failures, then the upstream is ejected, for longer each time, and readmitted slowly`() {
            val ejected = failing(OutlierEjection(settings), nowMs = 0)
            assertTrue(ejected.health("u", 0).ejected)
            val readmitted = ejected.health("u", settings.baseEjectionMs)
            assertFalse(readmitted.ejected)
            assertEquals(settings.slowStartShare, readmitted.admittedShare)
            assertEquals(1.0, ejected.health("u", settings.baseEjectionMs + settings.slowStartMs).admittedShare)
            val ejectedAgain = failing(ejected, settings.baseEjectionMs)
            assertTrue(ejectedAgain.health("u", settings.baseEjectionMs * 3 - 1).ejected)
        }

        @Test
        fun `Given half of the answers are immediate errors, then the upstream is ejected`() {
            val ejection = (1..10).fold(OutlierEjection(settings)) { state, answer ->
                if (answer % 2 == 0) state.failed("u", 4, 0) else state.succeeded("u", 0)
            }
            assertTrue(ejection.health("u", 0).ejected)
        }
    }
}
