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
        fun `Given failures in a row, then the upstream is out, comes back slowly, and is out longer next time`() {
            val once = failing(OutlierEjection(settings), nowMs = 0)
            assertTrue(once.health("u", 0).ejected)
            val back = once.health("u", settings.baseOutMs)
            assertFalse(back.ejected)
            assertEquals(settings.slowStartShare, back.admittedShare)
            assertEquals(1.0, once.health("u", settings.baseOutMs + settings.slowStartMs).admittedShare)
            val twice = failing(once, settings.baseOutMs)
            assertTrue(twice.health("u", settings.baseOutMs * 3 - 1).ejected)
        }

        @Test
        fun `Given half of the answers are errors that come at once, then the upstream is out`() {
            val ejection = (1..10).fold(OutlierEjection(settings)) { state, answer ->
                if (answer % 2 == 0) state.failed("u", 4, 0) else state.succeeded("u", 0)
            }
            assertTrue(ejection.health("u", 0).ejected)
        }
    }

    @Nested
    inner class Hedge {
        private val late = HedgeQuestion(
            idempotent = true,
            sentAtMs = 0,
            firstByteSeen = false,
            typicalFirstByteMs = 300,
            alternativeFinishMs = 900,
            deadlineMs = 1_000,
        )

        private fun decide(question: HedgeQuestion, nowMs: Long = 300) =
            HedgePolicy().decide(question, RetryBudget(), nowMs)

        @Test
        fun `Given a first byte that is overdue, then only a call that may run twice and gains by it is hedged`() {
            assertEquals(HedgeDecision.WAIT, decide(late, nowMs = 299))
            assertEquals(HedgeDecision.SEND, decide(late))
            assertEquals(HedgeDecision.NEVER, decide(late.copy(idempotent = false)))
            assertEquals(HedgeDecision.NEVER, decide(late.copy(firstByteSeen = true)))
            assertEquals(HedgeDecision.NEVER, decide(late.copy(alternativeFinishMs = 1_001)))
            val empty = RetryBudget(balance = 0.5)
            assertEquals(HedgeDecision.WAIT, HedgePolicy().decide(late, empty, nowMs = 300))
        }
    }
}
