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
        fun `Given a predicted finish past the deadline, then it is refused with the lateness as retry delay`() {
            val refused = DeadlineAdmission().decide(FinishPrediction(3_000, 500), deadlineMs = 2_000, nowMs = 0)
            assertEquals(AdmissionDecision.Refuse(1_000), refused)
        }

        @Test
        fun `Given a deadline that an idle upstream can't meet, then the refusal has no retry delay`() {
            val refused = DeadlineAdmission().decide(FinishPrediction(3_000, 2_500), deadlineMs = 2_000, nowMs = 0)
            assertEquals(AdmissionDecision.Refuse(null), refused)
        }

        @Test
        fun `Given slack, then a finish late by no more than the slack is admitted`() {
            val entry = DeadlineAdmission(slackShare = 0.2)
            assertIs<AdmissionDecision.Admit>(entry.decide(FinishPrediction(1_150, 0), deadlineMs = 1_000, nowMs = 0))
            assertIs<AdmissionDecision.Refuse>(entry.decide(FinishPrediction(1_250, 0), deadlineMs = 1_000, nowMs = 0))
        }
    }

    @Nested
    inner class RetryAfter {
        @Test
        fun `Given a retry after the delay of the refusal, then the same request is admitted`() {
            val work = WorkTokens(500, 10)

            fun predictedFinish(atMs: Long): FinishPrediction {
                val aheadMs = (4_000.0 - atMs).coerceAtLeast(0.0)
                return QueueFinishPredictor.predict(work, QueueState(1, WorkTokens.NONE, aheadMs, speed), atMs)
            }
            val refused = DeadlineAdmission().decide(predictedFinish(0), deadlineMs = 2_000, nowMs = 0)
            val retryAtMs = assertIs<AdmissionDecision.Refuse>(refused).retryAfterMs!!
            val retried = DeadlineAdmission()
                .decide(predictedFinish(retryAtMs), deadlineMs = retryAtMs + 2_000, nowMs = retryAtMs)
            assertIs<AdmissionDecision.Admit>(retried)
        }

        @Test
        fun `Given no free batch slot, then the finish includes the wait for a slot`() {
            val freeSlot = QueueState(3, WorkTokens(0, 300), 0.0, speed)
            val noFreeSlot = freeSlot.copy(running = 4, runningWork = WorkTokens(0, 400))
            val work = WorkTokens(0, 10)
            assertEquals(400, QueueFinishPredictor.predict(work, freeSlot, 0).finishMs)
            assertEquals(1_400, QueueFinishPredictor.predict(work, noFreeSlot, 0).finishMs)
        }
    }
}
