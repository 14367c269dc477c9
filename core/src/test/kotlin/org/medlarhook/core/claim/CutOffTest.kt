package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import kotlin.test.Test
import kotlin.test.assertEquals

/** The answers of calls of plain services that are cut off at the end of the process. */
class CutOffTest {
    private val machine = AtMostOnceMachine(AttemptLimits())
    private val request = AtMostOnceRequest(deadlineAtMs = 60_000, hasIdempotencyKey = true)
    private val attempt = AttemptRef("attempt-1", "upstream-1", "host:1", 1)
    private val answer = CallAnswer(201, emptyList(), ByteArray(0))

    private fun cutOff(state: AtMostOnceState): AtMostOnceAction {
        val step = machine.step(state, AtMostOnceEvent.CutOff, nowMs = 10)
        assertEquals(AtMostOncePhase.Ended, step.state.phase)
        return step.actions.single()
    }

    private fun failureIn(phase: AtMostOncePhase, mayHaveRun: Boolean = false, call: AtMostOnceRequest = request) =
        (cutOff(AtMostOnceState(call, phase, mayHaveRun = mayHaveRun)) as AtMostOnceAction.Fail).failure

    private fun assertFailure(code: ResultCode, runState: RunState, failure: Failure) =
        assertEquals(code to runState, failure.code to failure.runState)

    @Test
    fun `Given a call of which no attempt was sent, then it is refused as not run`() {
        val claim = Claim("", attempt, ClaimState.CLAIMED)
        val notSent =
            listOf(AtMostOncePhase.Choosing(0), AtMostOncePhase.Claiming(claim))
        notSent.forEach { assertFailure(ResultCode.DRAINING, RunState.NOT_RUN, failureIn(it)) }
    }

    @Test
    fun `Given a call that may have run, then its outcome is reported as unknown`() {
        val sending = AtMostOncePhase.Sending(attempt, 1)
        val settling = AtMostOncePhase.Settling(attempt, 1, askedAtMs = 0, isAsking = true)
        listOf(sending, settling).forEach {
            assertFailure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, failureIn(it))
        }
        val retrying = failureIn(AtMostOncePhase.Choosing(0), mayHaveRun = true)
        assertFailure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, retrying)
        val idempotent = failureIn(sending, call = request.copy(idempotent = true, hasIdempotencyKey = false))
        assertFailure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, idempotent)
    }

    @Test
    fun `Given an answer that is being recorded, then the caller gets it`() {
        val claim = Claim("", attempt, ClaimState.DONE, answer)
        val state =
            AtMostOnceState(request, AtMostOncePhase.Recording(claim, answer, isReplay = false), mayHaveRun = true)
        assertEquals(AtMostOnceAction.Answer(answer, isReplay = false), cutOff(state))
    }
}
