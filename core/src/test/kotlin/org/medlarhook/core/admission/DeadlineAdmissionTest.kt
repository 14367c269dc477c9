package org.medlarhook.core.admission

import org.junit.jupiter.api.Nested
import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.FinishPrediction
import org.medlarhook.core.routing.WorkTokens
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class DeadlineAdmissionTest {
    private val speed = EngineSpeed(prefillTokensPerS = 1_000.0, decodeTokensPerS = 100.0, slots = 4)

    @Nested
    inner class Decide {
        @Test
        fun `Given a late finish, then it is refused until the queue has drained enough`() {
            val refused = DeadlineAdmission().decide(FinishPrediction(3_000, 500), deadlineMs = 2_000, nowMs = 0)
            assertEquals(AdmissionDecision.Refuse(1_000), refused)
        }

        @Test
        fun `Given a deadline that no empty upstream could meet, then waiting is not advised`() {
            val refused = DeadlineAdmission().decide(FinishPrediction(3_000, 2_500), deadlineMs = 2_000, nowMs = 0)
            assertEquals(AdmissionDecision.Refuse(null), refused)
        }

        @Test
        fun `Given slack for an estimate, then a finish that is a little late is left to the sidecar`() {
            val entry = DeadlineAdmission(slackShare = 0.2)
            assertIs<AdmissionDecision.Admit>(entry.decide(FinishPrediction(1_150, 0), deadlineMs = 1_000, nowMs = 0))
            assertIs<AdmissionDecision.Refuse>(entry.decide(FinishPrediction(1_250, 0), deadlineMs = 1_000, nowMs = 0))
        }
    }

    @Nested
    inner class RetryAfter {
        @Test
        fun `Given the time to come back has passed, then the same request is admitted`() {
            val work = WorkTokens(500, 10)

            fun finish(atMs: Long): FinishPrediction {
                val aheadMs = (4_000.0 - atMs).coerceAtLeast(0.0)
                return QueueFinishPredictor.predict(work, QueueState(1, WorkTokens.NONE, aheadMs, speed), atMs)
            }
            val refused = DeadlineAdmission().decide(finish(0), deadlineMs = 2_000, nowMs = 0)
            val backMs = assertIs<AdmissionDecision.Refuse>(refused).retryAfterMs!!
            val again = DeadlineAdmission().decide(finish(backMs), deadlineMs = backMs + 2_000, nowMs = backMs)
            assertIs<AdmissionDecision.Admit>(again)
        }

        @Test
        fun `Given all slots taken, then the wait for a slot counts`() {
            val free = QueueState(3, WorkTokens(0, 300), 0.0, speed)
            val full = free.copy(running = 4, runningWork = WorkTokens(0, 400))
            val work = WorkTokens(0, 10)
            assertEquals(400, QueueFinishPredictor.predict(work, free, 0).finishMs)
            assertEquals(1_400, QueueFinishPredictor.predict(work, full, 0).finishMs)
        }
    }
}
