package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.claim.OncePhase.Asking
import org.medlarhook.core.claim.OncePhase.Choosing
import org.medlarhook.core.claim.OncePhase.Claiming
import org.medlarhook.core.claim.OncePhase.Ended
import org.medlarhook.core.claim.OncePhase.Reading
import org.medlarhook.core.claim.OncePhase.Recording
import org.medlarhook.core.claim.OncePhase.Releasing
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** The rules for the claim row: written before sending, examined if another request holds it, recorded at the end. */
internal class ClaimRules(
    private val limits: AttemptLimits,
    private val attempts: AttemptRules,
) {
    /** An event while an upstream is chosen. */
    fun whileChoosing(
        state: OnceState,
        phase: Choosing,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.Chosen -> chosen(state, phase, event.attempt, nowMs)
            is OnceEvent.NotChosen -> notChosen(state, phase, state.lastFailure ?: event.failure)
            is OnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> OnceStep(state)
        }

    /** An event while the claim is written. */
    fun whileClaiming(
        state: OnceState,
        phase: Claiming,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.ClaimWritten ->
                if (event.claim == phase.claim) claimed(state, phase, event.result, nowMs) else OnceStep(state)
            is OnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> OnceStep(state)
        }

    /** An event while the row is read. */
    fun whileReading(
        state: OnceState,
        phase: Reading,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.ClaimRead -> read(state, phase, event.row, nowMs)
            is OnceEvent.ClaimReadFailed -> OnceStep(state).failed(phase.ifAbsent)
            is OnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> OnceStep(state)
        }

    /** An event while the sidecar of another request's attempt is asked. */
    fun whileAsking(
        state: OnceState,
        phase: Asking,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.SealAnswered ->
                if (event.attemptId == phase.row.claim.attempt.attemptId) {
                    asked(state, phase.row, event.result)
                } else {
                    OnceStep(state)
                }
            is OnceEvent.Tick ->
                if (nowMs >= state.request.deadlineAtMs) unknown(state) else OnceStep(state)
            else -> OnceStep(state)
        }

    /** An event while the answer is recorded. The answer is passed on whether it could be recorded or not. */
    fun whileRecording(
        state: OnceState,
        phase: Recording,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep {
        val isOver =
            when (event) {
                is OnceEvent.ClaimWritten -> event.claim == phase.claim
                is OnceEvent.Tick -> nowMs >= state.request.deadlineAtMs
                else -> false
            }
        if (!isOver) return OnceStep(state)
        return OnceStep(state.copy(phase = Ended), listOf(OnceAction.Answer(phase.answer, phase.isReplay)))
    }

    /** An event while the claim is given back. */
    fun whileReleasing(
        state: OnceState,
        phase: Releasing,
        event: OnceEvent,
        nowMs: Long,
    ): OnceStep =
        when (event) {
            is OnceEvent.ClaimWritten ->
                if (event.claim == phase.claim) released(state, phase, event.result) else OnceStep(state)
            is OnceEvent.Tick ->
                if (nowMs >= state.request.deadlineAtMs) OnceStep(state).failed(phase.failure) else OnceStep(state)
            else -> OnceStep(state)
        }

    private fun chosen(
        state: OnceState,
        phase: Choosing,
        attempt: AttemptRef,
        nowMs: Long,
    ): OnceStep {
        val next = state.copy(attempts = state.attempts + 1)
        if (!state.request.keyed) return attempts.send(next, attempt, NO_ROW, nowMs)
        val claim = Claim(state.request.digestHex, attempt, ClaimState.CLAIMED)
        return OnceStep(next.copy(phase = Claiming(claim)), listOf(OnceAction.WriteClaim(claim, phase.rowVersion)))
    }

    /** Without an upstream an answer recorded earlier can still be replayed. */
    private fun notChosen(state: OnceState, phase: Choosing, failure: Failure): OnceStep {
        val isFirst = state.request.keyed && phase.rowVersion == NO_ROW
        if (!isFirst) return OnceStep(state).failed(failure)
        return OnceStep(state.copy(phase = Reading(null, failure)), listOf(OnceAction.ReadClaim))
    }

    private fun claimed(
        state: OnceState,
        phase: Claiming,
        result: ClaimWriteResult,
        nowMs: Long,
    ): OnceStep =
        when (result) {
            is ClaimWriteResult.Written -> attempts.send(state, phase.claim.attempt, result.version, nowMs)
            is ClaimWriteResult.Refused -> {
                val current = result.current
                if (current == null) OnceStep(state).failed(unavailable()) else examine(state, current)
            }
            is ClaimWriteResult.Unavailable -> OnceStep(state).failed(unavailable())
            is ClaimWriteResult.Unknown ->
                OnceStep(
                    state.copy(phase = Reading(phase.claim, unavailable())),
                    listOf(OnceAction.ReadClaim),
                )
        }

    private fun read(
        state: OnceState,
        phase: Reading,
        row: ClaimRow?,
        nowMs: Long,
    ): OnceStep =
        when {
            row == null -> OnceStep(state).failed(phase.ifAbsent)
            row.claim == phase.pending -> attempts.send(state, row.claim.attempt, row.version, nowMs)
            else -> examine(state, row)
        }

    private fun examine(state: OnceState, row: ClaimRow): OnceStep {
        val claim = row.claim
        val answer = claim.answer
        return when {
            claim.digestHex != state.request.digestHex ->
                OnceStep(state).failed(Failure(ResultCode.IDEMPOTENCY_KEY_REUSED, RunState.NOT_RUN))
            claim.state == ClaimState.DONE && answer != null ->
                OnceStep(state.copy(phase = Ended), listOf(OnceAction.Answer(answer, isReplay = true)))
            claim.state == ClaimState.DONE -> unknown(state)
            state.examinations >= MAX_EXAMINATIONS -> inProgress(state)
            claim.state == ClaimState.RELEASED -> takeOver(state, row)
            else -> {
                val next = state.copy(phase = Asking(row), examinations = state.examinations + 1)
                OnceStep(next, listOf(OnceAction.Seal(claim.attempt)))
            }
        }
    }

    private fun asked(state: OnceState, row: ClaimRow, result: SealResult): OnceStep =
        when (result) {
            is SealResult.Sealed -> takeOver(state, row)
            is SealResult.Answered ->
                attempts.record(state, row.claim, row.version, result.answer, isReplay = true)
            is SealResult.Refused ->
                if (result.failure.runState == RunState.NOT_RUN) takeOver(state, row) else unknown(state)
            is SealResult.Running -> inProgress(state)
            is SealResult.Undetermined, is SealResult.Unreachable -> unknown(state)
        }

    /** The attempt in [row] never ran and never will: this request may replace it. */
    private fun takeOver(state: OnceState, row: ClaimRow): OnceStep {
        val next = state.copy(phase = Choosing(row.version), examinations = state.examinations + 1)
        return OnceStep(next, listOf(OnceAction.Choose(state.excludedUpstreams, isRetry = false)))
    }

    private fun released(state: OnceState, phase: Releasing, result: ClaimWriteResult): OnceStep {
        val current = (result as? ClaimWriteResult.Refused)?.current
        if (current == null) return OnceStep(state).failed(phase.failure)
        return examine(state.copy(examinations = MAX_EXAMINATIONS), current)
    }

    private fun unlessOverdue(state: OnceState, nowMs: Long): OnceStep {
        if (nowMs < state.request.deadlineAtMs) return OnceStep(state)
        return OnceStep(state).failed(
            Failure(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs),
        )
    }

    private fun inProgress(state: OnceState): OnceStep =
        OnceStep(state).failed(
            Failure(ResultCode.IDEMPOTENCY_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs),
        )

    private fun unknown(state: OnceState): OnceStep =
        OnceStep(state).failed(
            Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs),
        )

    private fun unavailable() =
        Failure(ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    companion object {
        /** The version of a row that does not exist. */
        const val NO_ROW = 0L

        /** How often a request may ask after the attempts of others; one that was overtaken asks no more. */
        const val MAX_EXAMINATIONS = 4
    }
}
