package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.call.mayBeRepeatedElsewhere
import org.medlarhook.core.call.mayBeSentElsewhere
import org.medlarhook.core.claim.AtMostOncePhase.Choosing
import org.medlarhook.core.claim.AtMostOncePhase.Ended
import org.medlarhook.core.claim.AtMostOncePhase.Reading
import org.medlarhook.core.claim.AtMostOncePhase.Recording
import org.medlarhook.core.claim.AtMostOncePhase.Releasing
import org.medlarhook.core.claim.AtMostOncePhase.Sending
import org.medlarhook.core.claim.AtMostOncePhase.Settling
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** The rules for an attempt that was sent: its answer, its refusal, and the question after its outcome. */
internal class AttemptRules(
    private val limits: AttemptLimits,
) {
    /** Sends [attempt], whose claim stands in the row of [rowVersion]. */
    fun send(
        state: AtMostOnceState,
        attempt: AttemptRef,
        rowVersion: Long,
        nowMs: Long,
    ): AtMostOnceStep {
        val remainingMs = state.request.deadlineAtMs - nowMs
        if (remainingMs <= 0) return AtMostOnceStep(state).failed(notRun(ResultCode.DEADLINE_EXCEEDED))
        val next = state.copy(phase = Sending(attempt, rowVersion))
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Send(attempt, remainingMs)))
    }

    /** An event while the attempt is on its way. */
    fun whileSending(
        state: AtMostOnceState,
        phase: Sending,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Answered -> ifSame(state, phase.attempt, event.attemptId) {
                answered(state, phase, event)
            }
            is AtMostOnceEvent.Refused -> ifSame(state, phase.attempt, event.attemptId) {
                refused(state, phase, event, nowMs)
            }
            is AtMostOnceEvent.NotSent ->
                ifSame(state, phase.attempt, event.attemptId) {
                    elsewhere(state, phase, notRun(ResultCode.UPSTREAM_FAILED))
                }
            is AtMostOnceEvent.Broken -> ifSame(state, phase.attempt, event.attemptId) { lost(state, phase, nowMs) }
            is AtMostOnceEvent.Tick ->
                if (nowMs >= settleAtMs(state)) overdue(state, phase, nowMs) else AtMostOnceStep(state)
            else -> AtMostOnceStep(state)
        }

    /** An event while the sidecar is asked after the attempt. */
    fun whileSettling(
        state: AtMostOnceState,
        phase: Settling,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Answered ->
                ifSame(state, phase.attempt, event.attemptId) { answered(state, phase.sending(), event) }
            is AtMostOnceEvent.SealAnswered ->
                ifSame(state, phase.attempt, event.attemptId) { settled(state, phase, event.result, nowMs) }
            is AtMostOnceEvent.Tick -> askAgain(state, phase, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** Records [answer] in the row of [claim], and then answers. */
    fun record(
        state: AtMostOnceState,
        claim: Claim,
        rowVersion: Long,
        answer: CallAnswer,
        isReplay: Boolean,
    ): AtMostOnceStep {
        val done = claim.copy(state = ClaimState.DONE, answer = answer)
        val next = state.copy(phase = Recording(done, answer, isReplay), mayHaveRun = true)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.WriteClaim(done, rowVersion)))
    }

    private fun answered(state: AtMostOnceState, phase: Sending, event: AtMostOnceEvent.Answered): AtMostOnceStep {
        if (state.request.hasIdempotencyKey) {
            val claim = Claim(state.request.digestHex, phase.attempt, ClaimState.CLAIMED)
            return record(state, claim, phase.rowVersion, event.answer, isReplay = false)
        }
        val next = state.copy(phase = Ended, mayHaveRun = true)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Answer(event.answer, isReplay = false)))
    }

    private fun refused(
        state: AtMostOnceState,
        phase: Sending,
        event: AtMostOnceEvent.Refused,
        nowMs: Long,
    ): AtMostOnceStep {
        val failure = event.failure
        return when {
            state.request.idempotent && failure.mayBeRepeatedElsewhere() -> elsewhere(state, phase, failure)
            failure.code == ResultCode.DUPLICATE_ATTEMPT -> lost(state, phase, nowMs)
            failure.runState != RunState.NOT_RUN -> AtMostOnceStep(state.copy(mayHaveRun = true)).failed(failure)
            failure.code == ResultCode.ATTEMPT_SEALED && state.request.hasIdempotencyKey -> overtaken(state, failure)
            failure.mayBeSentElsewhere() -> elsewhere(state, phase, failure)
            else -> release(state, phase, failure)
        }
    }

    /** Another request has sealed the attempt and goes on with the key; this one must not take it back. */
    private fun overtaken(state: AtMostOnceState, failure: Failure): AtMostOnceStep {
        val next = state.copy(phase = Reading(null, failure), examinations = ClaimRules.MAX_EXAMINATIONS)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.ReadClaim))
    }

    /** Follows an attempt that surely did not run, or may run twice, by another one at another upstream. */
    private fun elsewhere(state: AtMostOnceState, phase: Sending, failure: Failure): AtMostOnceStep {
        if (state.attempts >= limits.maxAttempts) return release(state, phase, failure)
        val excluded = state.excludedUpstreams.add(phase.attempt.upstreamId)
        val next =
            state.copy(
                phase = Choosing(phase.rowVersion),
                excludedUpstreams = excluded,
                lastFailure = failure,
                mayHaveRun = state.mayHaveRun || failure.runState != RunState.NOT_RUN,
            )
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Choose(excluded, isRetry = true)))
    }

    private fun release(state: AtMostOnceState, phase: Sending, failure: Failure): AtMostOnceStep {
        if (!state.request.hasIdempotencyKey) return AtMostOnceStep(state).failed(failure)
        val claim = Claim(state.request.digestHex, phase.attempt, ClaimState.RELEASED)
        val next = state.copy(phase = Releasing(claim, failure))
        return AtMostOnceStep(next, listOf(AtMostOnceAction.WriteClaim(claim, phase.rowVersion)))
    }

    private fun lost(state: AtMostOnceState, phase: Sending, nowMs: Long): AtMostOnceStep {
        if (state.request.idempotent) {
            return elsewhere(state, phase, Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN))
        }
        val settling = Settling(phase.attempt, phase.rowVersion, nowMs, isAsking = true)
        return AtMostOnceStep(state.copy(phase = settling), listOf(AtMostOnceAction.Seal(phase.attempt)))
    }

    private fun overdue(state: AtMostOnceState, phase: Sending, nowMs: Long): AtMostOnceStep {
        if (!state.request.idempotent) return lost(state, phase, nowMs)
        if (nowMs < state.request.deadlineAtMs) return AtMostOnceStep(state)
        return AtMostOnceStep(state).failed(Failure(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN))
    }

    private fun settled(
        state: AtMostOnceState,
        phase: Settling,
        result: SealResult,
        nowMs: Long,
    ): AtMostOnceStep =
        when (result) {
            is SealResult.Sealed -> release(state, phase.sending(), notRun(ResultCode.ATTEMPT_SEALED))
            is SealResult.Running -> AtMostOnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = 0)))
            is SealResult.Answered ->
                answered(state, phase.sending(), AtMostOnceEvent.Answered(phase.attempt.attemptId, result.answer))
            is SealResult.Refused ->
                if (result.failure.runState == RunState.NOT_RUN) {
                    release(state, phase.sending(), result.failure)
                } else {
                    AtMostOnceStep(state.copy(mayHaveRun = true)).failed(result.failure)
                }
            is SealResult.Undetermined -> unknown(state)
            is SealResult.Unreachable ->
                if (phase.failures + 1 >= limits.maxSealFailures) {
                    unknown(state)
                } else {
                    AtMostOnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = phase.failures + 1)))
                }
        }

    private fun askAgain(state: AtMostOnceState, phase: Settling, nowMs: Long): AtMostOnceStep =
        when {
            nowMs >= state.request.deadlineAtMs -> unknown(state)
            phase.isAsking || nowMs - phase.askedAtMs < limits.sealIntervalMs -> AtMostOnceStep(state)
            else -> {
                val asking = phase.copy(askedAtMs = nowMs, isAsking = true)
                AtMostOnceStep(state.copy(phase = asking), listOf(AtMostOnceAction.Seal(phase.attempt)))
            }
        }

    private fun unknown(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state.copy(mayHaveRun = true)).failed(Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN))

    private fun notRun(code: ResultCode) = Failure(code, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    private fun settleAtMs(state: AtMostOnceState): Long = state.request.deadlineAtMs - limits.settleReserveMs

    private fun Settling.sending() = Sending(attempt, rowVersion)

    private fun Settling.waiting(nowMs: Long) = copy(askedAtMs = nowMs, isAsking = false)

    private fun ifSame(
        state: AtMostOnceState,
        attempt: AttemptRef,
        attemptId: String,
        block: () -> AtMostOnceStep,
    ): AtMostOnceStep = if (attempt.attemptId == attemptId) block() else AtMostOnceStep(state)
}
