package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.call.isRetryableAsNotRun
import org.medlarhook.core.call.isRetryableIfIdempotent
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

/** The transitions of an attempt that was sent: its answer, its refusal, and a seal request if the answer is lost. */
internal class AttemptRules(
    private val limits: AttemptLimits,
) {
    /** Sends [attempt], whose claim is in the row with [rowVersion]. */
    fun send(
        state: AtMostOnceState,
        attempt: AttemptRef,
        rowVersion: Long,
        nowMs: Long,
    ): AtMostOnceStep {
        val remainingMs = state.call.deadlineAtMs - nowMs
        if (remainingMs <= 0) return AtMostOnceStep(state).fail(notRun(ResultCode.DEADLINE_EXCEEDED))
        val next = state.copy(phase = Sending(attempt, rowVersion))
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Send(attempt, remainingMs)))
    }

    /** Handles an event in the phase [Sending]. */
    fun whileSending(
        state: AtMostOnceState,
        phase: Sending,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Answered ->
                ifCurrent(state, phase.attempt, event.attemptId) { answered(state, phase, event) }
            is AtMostOnceEvent.Refused ->
                ifCurrent(state, phase.attempt, event.attemptId) { refused(state, phase, event, nowMs) }
            is AtMostOnceEvent.NotSent ->
                ifCurrent(state, phase.attempt, event.attemptId) {
                    retryElsewhere(state, phase, notRun(ResultCode.UPSTREAM_FAILED))
                }
            is AtMostOnceEvent.Broken ->
                ifCurrent(state, phase.attempt, event.attemptId) { answerLost(state, phase, nowMs) }
            is AtMostOnceEvent.Tick ->
                if (nowMs >= latestSealAtMs(state)) deadlineNear(state, phase, nowMs) else AtMostOnceStep(state)
            else -> AtMostOnceStep(state)
        }

    /** Handles an event in the phase [Settling]. */
    fun whileSettling(
        state: AtMostOnceState,
        phase: Settling,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Answered ->
                ifCurrent(state, phase.attempt, event.attemptId) { answered(state, phase.sending(), event) }
            is AtMostOnceEvent.SealAnswered ->
                ifCurrent(state, phase.attempt, event.attemptId) { sealAnswered(state, phase, event.result, nowMs) }
            is AtMostOnceEvent.Tick -> requestSealAgain(state, phase, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** Records [answer] in the row of [claim]; the caller gets it after that. */
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
        if (state.call.hasIdempotencyKey) {
            val claim = Claim(state.call.digestHex, phase.attempt, ClaimState.CLAIMED)
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
            state.call.idempotent && failure.isRetryableIfIdempotent() -> retryElsewhere(state, phase, failure)
            failure.code == ResultCode.DUPLICATE_ATTEMPT -> answerLost(state, phase, nowMs)
            failure.runState != RunState.NOT_RUN -> AtMostOnceStep(state.copy(mayHaveRun = true)).fail(failure)
            failure.code == ResultCode.ATTEMPT_SEALED && state.call.hasIdempotencyKey -> superseded(state, failure)
            failure.isRetryableAsNotRun() -> retryElsewhere(state, phase, failure)
            else -> releaseClaim(state, phase, failure)
        }
    }

    /** Another request has sealed the attempt and continues with the key; this one must not replace its claim. */
    private fun superseded(state: AtMostOnceState, failure: Failure): AtMostOnceStep {
        val next = state.copy(phase = Reading(null, failure), claimConflicts = ClaimRules.MAX_CLAIM_CONFLICTS)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.ReadClaim))
    }

    /** Sends another attempt to another upstream, after one that has certainly not run or that may run twice. */
    private fun retryElsewhere(state: AtMostOnceState, phase: Sending, failure: Failure): AtMostOnceStep {
        if (state.attempts >= limits.maxAttempts) return releaseClaim(state, phase, failure)
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

    private fun releaseClaim(state: AtMostOnceState, phase: Sending, failure: Failure): AtMostOnceStep {
        if (!state.call.hasIdempotencyKey) return AtMostOnceStep(state).fail(failure)
        val claim = Claim(state.call.digestHex, phase.attempt, ClaimState.RELEASED)
        val next = state.copy(phase = Releasing(claim, failure))
        return AtMostOnceStep(next, listOf(AtMostOnceAction.WriteClaim(claim, phase.rowVersion)))
    }

    private fun answerLost(state: AtMostOnceState, phase: Sending, nowMs: Long): AtMostOnceStep {
        if (state.call.idempotent) {
            return retryElsewhere(state, phase, Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN))
        }
        val settling = Settling(phase.attempt, phase.rowVersion, nowMs, isAsking = true)
        return AtMostOnceStep(state.copy(phase = settling), listOf(AtMostOnceAction.Seal(phase.attempt)))
    }

    private fun deadlineNear(state: AtMostOnceState, phase: Sending, nowMs: Long): AtMostOnceStep {
        if (!state.call.idempotent) return answerLost(state, phase, nowMs)
        if (nowMs < state.call.deadlineAtMs) return AtMostOnceStep(state)
        return AtMostOnceStep(state).fail(Failure(ResultCode.DEADLINE_EXCEEDED, RunState.UNKNOWN))
    }

    private fun sealAnswered(
        state: AtMostOnceState,
        phase: Settling,
        result: SealResult,
        nowMs: Long,
    ): AtMostOnceStep =
        when (result) {
            is SealResult.Sealed -> releaseClaim(state, phase.sending(), notRun(ResultCode.ATTEMPT_SEALED))
            is SealResult.Running -> AtMostOnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = 0)))
            is SealResult.Answered ->
                answered(state, phase.sending(), AtMostOnceEvent.Answered(phase.attempt.attemptId, result.answer))
            is SealResult.Refused ->
                if (result.failure.runState == RunState.NOT_RUN) {
                    releaseClaim(state, phase.sending(), result.failure)
                } else {
                    AtMostOnceStep(state.copy(mayHaveRun = true)).fail(result.failure)
                }
            is SealResult.Undetermined -> outcomeUnknown(state)
            is SealResult.Unreachable ->
                if (phase.failures + 1 >= limits.maxSealFailures) {
                    outcomeUnknown(state)
                } else {
                    AtMostOnceStep(state.copy(phase = phase.waiting(nowMs).copy(failures = phase.failures + 1)))
                }
        }

    private fun requestSealAgain(state: AtMostOnceState, phase: Settling, nowMs: Long): AtMostOnceStep =
        when {
            nowMs >= state.call.deadlineAtMs -> outcomeUnknown(state)
            phase.isAsking || nowMs - phase.askedAtMs < limits.sealIntervalMs -> AtMostOnceStep(state)
            else -> {
                val asking = phase.copy(askedAtMs = nowMs, isAsking = true)
                AtMostOnceStep(state.copy(phase = asking), listOf(AtMostOnceAction.Seal(phase.attempt)))
            }
        }

    private fun outcomeUnknown(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state.copy(mayHaveRun = true)).fail(Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN))

    private fun notRun(code: ResultCode) = Failure(code, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    private fun latestSealAtMs(state: AtMostOnceState): Long = state.call.deadlineAtMs - limits.outcomeReserveMs

    private fun Settling.sending() = Sending(attempt, rowVersion)

    private fun Settling.waiting(nowMs: Long) = copy(askedAtMs = nowMs, isAsking = false)

    private fun ifCurrent(
        state: AtMostOnceState,
        attempt: AttemptRef,
        attemptId: String,
        block: () -> AtMostOnceStep,
    ): AtMostOnceStep = if (attempt.attemptId == attemptId) block() else AtMostOnceStep(state)
}
