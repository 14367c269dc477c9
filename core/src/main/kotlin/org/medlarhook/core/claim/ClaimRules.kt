package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.claim.AtMostOncePhase.Asking
import org.medlarhook.core.claim.AtMostOncePhase.Choosing
import org.medlarhook.core.claim.AtMostOncePhase.Claiming
import org.medlarhook.core.claim.AtMostOncePhase.Ended
import org.medlarhook.core.claim.AtMostOncePhase.Reading
import org.medlarhook.core.claim.AtMostOncePhase.Recording
import org.medlarhook.core.claim.AtMostOncePhase.Releasing
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
        state: AtMostOnceState,
        phase: Choosing,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Chosen -> chosen(state, phase, event.attempt, nowMs)
            is AtMostOnceEvent.NotChosen -> notChosen(state, phase, state.lastFailure ?: event.failure)
            is AtMostOnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** An event while the claim is written. */
    fun whileClaiming(
        state: AtMostOnceState,
        phase: Claiming,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.ClaimWritten ->
                if (event.claim == phase.claim) claimed(state, phase, event.result, nowMs) else AtMostOnceStep(state)
            is AtMostOnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** An event while the row is read. */
    fun whileReading(
        state: AtMostOnceState,
        phase: Reading,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.ClaimRead -> read(state, phase, event.row, nowMs)
            is AtMostOnceEvent.ClaimReadFailed -> AtMostOnceStep(state).failed(phase.ifAbsent)
            is AtMostOnceEvent.Tick -> unlessOverdue(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** An event while the sidecar of another request's attempt is asked. */
    fun whileAsking(
        state: AtMostOnceState,
        phase: Asking,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.SealAnswered ->
                if (event.attemptId == phase.row.claim.attempt.attemptId) {
                    asked(state, phase.row, event.result)
                } else {
                    AtMostOnceStep(state)
                }
            is AtMostOnceEvent.Tick ->
                if (nowMs >= state.request.deadlineAtMs) unknown(state) else AtMostOnceStep(state)
            else -> AtMostOnceStep(state)
        }

    /** An event while the answer is recorded. The answer is passed on whether it could be recorded or not. */
    fun whileRecording(
        state: AtMostOnceState,
        phase: Recording,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep {
        val isOver =
            when (event) {
                is AtMostOnceEvent.ClaimWritten -> event.claim == phase.claim
                is AtMostOnceEvent.Tick -> nowMs >= state.request.deadlineAtMs
                else -> false
            }
        if (!isOver) return AtMostOnceStep(state)
        return AtMostOnceStep(state.copy(phase = Ended), listOf(AtMostOnceAction.Answer(phase.answer, phase.isReplay)))
    }

    /** An event while the claim is given back. */
    fun whileReleasing(
        state: AtMostOnceState,
        phase: Releasing,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.ClaimWritten ->
                if (event.claim == phase.claim) released(state, phase, event.result) else AtMostOnceStep(state)
            is AtMostOnceEvent.Tick ->
                if (nowMs >= state.request.deadlineAtMs) {
                    AtMostOnceStep(state).failed(phase.failure)
                } else {
                    AtMostOnceStep(state)
                }
            else -> AtMostOnceStep(state)
        }

    private fun chosen(
        state: AtMostOnceState,
        phase: Choosing,
        attempt: AttemptRef,
        nowMs: Long,
    ): AtMostOnceStep {
        val next = state.copy(attempts = state.attempts + 1)
        if (!state.request.hasIdempotencyKey) return attempts.send(next, attempt, NO_ROW, nowMs)
        val claim = Claim(state.request.digestHex, attempt, ClaimState.CLAIMED)
        return AtMostOnceStep(
            next.copy(phase = Claiming(claim)),
            listOf(AtMostOnceAction.WriteClaim(claim, phase.rowVersion)),
        )
    }

    /** Without an upstream an answer recorded earlier can still be replayed. */
    private fun notChosen(state: AtMostOnceState, phase: Choosing, failure: Failure): AtMostOnceStep {
        val isFirst = state.request.hasIdempotencyKey && phase.rowVersion == NO_ROW
        if (!isFirst) return AtMostOnceStep(state).failed(failure)
        return AtMostOnceStep(state.copy(phase = Reading(null, failure)), listOf(AtMostOnceAction.ReadClaim))
    }

    private fun claimed(
        state: AtMostOnceState,
        phase: Claiming,
        result: ClaimWriteResult,
        nowMs: Long,
    ): AtMostOnceStep =
        when (result) {
            is ClaimWriteResult.Written -> attempts.send(state, phase.claim.attempt, result.version, nowMs)
            is ClaimWriteResult.Refused -> {
                val current = result.current
                if (current == null) AtMostOnceStep(state).failed(unavailable()) else examine(state, current)
            }
            is ClaimWriteResult.Unavailable -> AtMostOnceStep(state).failed(unavailable())
            is ClaimWriteResult.Unknown ->
                AtMostOnceStep(
                    state.copy(phase = Reading(phase.claim, unavailable())),
                    listOf(AtMostOnceAction.ReadClaim),
                )
        }

    private fun read(
        state: AtMostOnceState,
        phase: Reading,
        row: ClaimRow?,
        nowMs: Long,
    ): AtMostOnceStep =
        when {
            row == null -> AtMostOnceStep(state).failed(phase.ifAbsent)
            row.claim == phase.pending -> attempts.send(state, row.claim.attempt, row.version, nowMs)
            else -> examine(state, row)
        }

    private fun examine(state: AtMostOnceState, row: ClaimRow): AtMostOnceStep {
        val claim = row.claim
        val answer = claim.answer
        return when {
            claim.digestHex != state.request.digestHex ->
                AtMostOnceStep(state).failed(Failure(ResultCode.IDEMPOTENCY_KEY_REUSED, RunState.NOT_RUN))
            claim.state == ClaimState.DONE && answer != null ->
                AtMostOnceStep(state.copy(phase = Ended), listOf(AtMostOnceAction.Answer(answer, isReplay = true)))
            claim.state == ClaimState.DONE -> unknown(state)
            state.examinations >= MAX_EXAMINATIONS -> inProgress(state)
            claim.state == ClaimState.RELEASED -> takeOver(state, row)
            else -> {
                val next = state.copy(phase = Asking(row), examinations = state.examinations + 1)
                AtMostOnceStep(next, listOf(AtMostOnceAction.Seal(claim.attempt)))
            }
        }
    }

    private fun asked(state: AtMostOnceState, row: ClaimRow, result: SealResult): AtMostOnceStep =
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
    private fun takeOver(state: AtMostOnceState, row: ClaimRow): AtMostOnceStep {
        val next = state.copy(phase = Choosing(row.version), examinations = state.examinations + 1)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Choose(state.excludedUpstreams, isRetry = false)))
    }

    private fun released(state: AtMostOnceState, phase: Releasing, result: ClaimWriteResult): AtMostOnceStep {
        val current = (result as? ClaimWriteResult.Refused)?.current
        if (current == null) return AtMostOnceStep(state).failed(phase.failure)
        return examine(state.copy(examinations = MAX_EXAMINATIONS), current)
    }

    private fun unlessOverdue(state: AtMostOnceState, nowMs: Long): AtMostOnceStep {
        if (nowMs < state.request.deadlineAtMs) return AtMostOnceStep(state)
        return AtMostOnceStep(state).failed(
            Failure(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs),
        )
    }

    private fun inProgress(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state).failed(
            Failure(ResultCode.IDEMPOTENCY_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs),
        )

    private fun unknown(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state).failed(
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
