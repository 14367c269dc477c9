package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.call.mayBeRepeatedElsewhere
import org.medlarhook.core.call.mayBeSentElsewhere
import org.medlarhook.core.claim.OncePhase.Choosing
import org.medlarhook.core.claim.OncePhase.Ended
import org.medlarhook.core.claim.OncePhase.Reading
import org.medlarhook.core.claim.OncePhase.Recording
import org.medlarhook.core.claim.OncePhase.Releasing
import org.medlarhook.core.claim.OncePhase.Sending
import org.medlarhook.core.claim.OncePhase.Settling
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** The rules for an attempt that was sent: its answer, its refusal, and the question after its outcome. */
internal class AttemptRules(
    private val limits: AttemptLimits,
) {
    /** Sends [attempt], whose claim stands in the row of [rowVersion]. */
    fun send(
        state: OnceState,
        attempt: AttemptRef,
        rowVersion: Long,
        nowMs: Long,
    ): OnceStep {
        val remainingMs = state.request.deadlineAtMs - nowMs
        if (remainingMs <= 0) return OnceStep(state).failed(notRun(ResultCode.DEADLINE_EXCEEDED))
        val next = state.copy(phase = Sending(attempt, rowVersion))
        return OnceStep(next, listOf(OnceAction.Send(attempt, remainingMs)))
    }

    /** An event while the attempt is on its way. */
    fun whileSending(
        state: OnceState,
        phase: Sending,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.Answered -> ifSame(state, phase.attempt, event.attemptId) { answered(state, phase, event) }
            is OnceEvent.Refused -> ifSame(state, phase.attempt, event.attemptId) {
                refused(state, phase, event, nowMs)
            }
            is OnceEvent.NotSent ->
                ifSame(state, phase.attempt, event.attemptId) {
                    elsewhere(state, phase, notRun(ResultCode.UPSTREAM_FAILED))
                }
            is OnceEvent.Broken -> ifSame(state, phase.attempt, event.attemptId) { lost(state, phase, nowMs) }
            is OnceEvent.Tick -> if (nowMs >= settleAtMs(state)) overdue(state, phase, nowMs) else OnceStep(state)
            else -> OnceStep(state)
        }

    /** An event while the sidecar is asked after the attempt. */
    fun whileSettling(
        state: OnceState,
        phase: Settling,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.Answered ->
                ifSame(state, phase.attempt, event.attemptId) { answered(state, phase.sending(), event) }
            is OnceEvent.SealAnswered ->
                ifSame(state, phase.attempt, event.attemptId) { settled(state, phase, event.result, nowMs) }
            is OnceEvent.Tick -> askAgain(state, phase, nowMs)
            else -> OnceStep(state)
        }

    /** Records [answer] in the row of [claim], and then answers. */
    fun record(
        state: OnceState,
        claim: Claim,
        rowVersion: Long,
        answer: CallAnswer,
        isReplay: Boolean,
    ): OnceStep {
        val done = claim.copy(state = ClaimState.DONE, answer = answer)
        val next = state.copy(phase = Recording(done, answer, isReplay), mayHaveRun = true)
        return OnceStep(next, listOf(OnceAction.WriteClaim(done, rowVersion)))
    }

    private fun answered(state: OnceState, phase: Sending, event: OnceEvent.Answered): OnceStep {
        if (state.request.keyed) {
            val claim = Claim(state.request.digestHex, phase.attempt, ClaimState.CLAIMED)
            return record(state, claim, phase.rowVersion, event.answer, isReplay = false)
        }
        val next = state.copy(phase = Ended, mayHaveRun = true)
        return OnceStep(next, listOf(OnceAction.Answer(event.answer, isReplay = false)))
    }

    private fun refused(
        state: OnceState,
        phase: Sending,
        event: OnceEvent.Refused,
        nowMs: Long,
    ): OnceStep {
        val failure = event.failure
        return when {
            state.request.repeatable && failure.mayBeRepeatedElsewhere() -> elsewhere(state, phase, failure)
            failure.code == ResultCode.DUPLICATE_ATTEMPT -> lost(state, phase, nowMs)
            failure.runState != RunState.NOT_RUN -> OnceStep(state.copy(mayHaveRun = true)).failed(failure)
            failure.code == ResultCode.ATTEMPT_SEALED && state.request.keyed -> overtaken(state, failure)
            failure.mayBeSentElsewhere() -> elsewhere(state, phase, failure)
            else -> release(state, phase, failure)
        }
    }

    /** Another request has sealed the attempt and goes on with the key; this one must not take it back. */
    private fun overtaken(state: OnceState, failure: Failure): OnceStep {
        val next = state.copy(phase = Reading(null, failure), examinations = ClaimRules.MAX_EXAMINATIONS)
        return OnceStep(next, listOf(OnceAction.ReadClaim))
    }

    /** Follows an attempt that surely did not run, or may run twice, by another one at another upstream. */
    private fun elsewhere(state: OnceState, phase: Sending, failure: Failure): OnceStep {
        if (state.attempts >= limits.maxAttempts) return release(state, phase, failure)
        val excluded = state.excludedUpstreams.add(phase.attempt.upstreamId)
        val next =
            state.copy(
                phase = Choosing(phase.rowVersion),
                excludedUpstreams = excluded,
                lastFailure = failure,
                mayHaveRun = state.mayHaveRun || failure.runState != RunState.NOT_RUN,
            )
        return OnceStep(next, listOf(OnceAction.Choose(excluded, isRetry = true)))
    }

    private fun release(state: OnceState, phase: Sending, failure: Failure): OnceStep {
        if (!state.request.keyed) return OnceStep(state).failed(failure)
        val claim = Claim(state.request.digestHex, phase.attempt, ClaimState.RELEASED)
        val next = state.copy(phase = Releasing(claim, failure))
        return OnceStep(next, listOf(OnceAction.WriteClaim(claim, phase.rowVersion)))
    }

    private fun lost(state: OnceState, phase: Sending, nowMs: Long): OnceStep {
        if (state.request.repeatable) {
            return elsewhere(state, phase, Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN))
        }
        val settling = Settling(phase.attempt, phase.rowVersion, nowMs, isAsking = true)
        return OnceStep(state.copy(phase = settling), listOf(OnceAction.Seal(phase.attempt)))
    }

    private fun overdue(state: OnceState, phase: Sending, nowMs: Long): OnceStep {
        if (!state.request.repeatable) return lost(state, phase, nowMs)
        if (nowMs < state.request.deadlineAtMs) return OnceStep(state)
        return OnceStep(state).failed(Failure(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN))
    }

    private fun settled(
        state: OnceState,
        phase: Settling,
        result: SealResult,
        nowMs: Long,
    ): OnceStep =
        when (result) {
            is SealResult.Sealed -> release(state, phase.sending(), notRun(ResultCode.ATTEMPT_SEALED))
            is SealResult.Running -> OnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = 0)))
            is SealResult.Answered ->
                answered(state, phase.sending(), OnceEvent.Answered(phase.attempt.attemptId, result.answer))
            is SealResult.Refused ->
                if (result.failure.runState == RunState.NOT_RUN) {
                    release(state, phase.sending(), result.failure)
                } else {
                    OnceStep(state.copy(mayHaveRun = true)).failed(result.failure)
                }
            is SealResult.Undetermined -> unknown(state)
            is SealResult.Unreachable ->
                if (phase.failures + 1 >= limits.maxSealFailures) {
                    unknown(state)
                } else {
                    OnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = phase.failures + 1)))
                }
        }

    private fun askAgain(state: OnceState, phase: Settling, nowMs: Long): OnceStep =
        when {
            nowMs >= state.request.deadlineAtMs -> unknown(state)
            phase.isAsking || nowMs - phase.askedAtMs < limits.sealIntervalMs -> OnceStep(state)
            else -> {
                val asking = phase.copy(askedAtMs = nowMs, isAsking = true)
                OnceStep(state.copy(phase = asking), listOf(OnceAction.Seal(phase.attempt)))
            }
        }

    private fun unknown(state: OnceState): OnceStep =
        OnceStep(state.copy(mayHaveRun = true)).failed(Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN))

    private fun notRun(code: ResultCode) = Failure(code, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    private fun settleAtMs(state: OnceState): Long = state.request.deadlineAtMs - limits.settleReserveMs

    private fun Settling.sending() = Sending(attempt, rowVersion)

    private fun Settling.waiting(nowMs: Long) = copy(askedAtMs = nowMs, isAsking = false)

    private fun ifSame(
        state: OnceState,
        attempt: AttemptRef,
        attemptId: String,
        block: () -> OnceStep,
    ): OnceStep = if (attempt.attemptId == attemptId) block() else OnceStep(state)
}
