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

/** The transitions of the claim row: written before sending, resolved if another request holds it, then answered. */
internal class ClaimRules(
    private val limits: AttemptLimits,
    private val attempts: AttemptRules,
) {
    /** Handles an event in the phase [Choosing]. */
    fun whileChoosing(
        state: AtMostOnceState,
        phase: Choosing,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.Chosen -> chosen(state, phase, event.attempt, nowMs)
            is AtMostOnceEvent.NotChosen -> notChosen(state, phase, state.lastFailure ?: event.failure)
            is AtMostOnceEvent.Tick -> unlessDeadlinePassed(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** Handles an event in the phase [Claiming]. */
    fun whileClaiming(
        state: AtMostOnceState,
        phase: Claiming,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.ClaimWritten ->
                if (event.claim == phase.claim) claimed(state, phase, event.result, nowMs) else AtMostOnceStep(state)
            is AtMostOnceEvent.Tick -> unlessDeadlinePassed(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** Handles an event in the phase [Reading]. */
    fun whileReading(
        state: AtMostOnceState,
        phase: Reading,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.ClaimRead -> read(state, phase, event.row, nowMs)
            is AtMostOnceEvent.ClaimReadFailed -> AtMostOnceStep(state).fail(phase.failureIfAbsent)
            is AtMostOnceEvent.Tick -> unlessDeadlinePassed(state, nowMs)
            else -> AtMostOnceStep(state)
        }

    /** Handles an event in the phase [Asking]. */
    fun whileAsking(
        state: AtMostOnceState,
        phase: Asking,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep =
        when (event) {
            is AtMostOnceEvent.SealAnswered ->
                if (event.attemptId == phase.row.claim.attempt.attemptId) {
                    sealAnswered(state, phase.row, event.result)
                } else {
                    AtMostOnceStep(state)
                }
            is AtMostOnceEvent.Tick ->
                if (nowMs >= state.call.deadlineAtMs) outcomeUnknown(state) else AtMostOnceStep(state)
            else -> AtMostOnceStep(state)
        }

    /** Handles an event in the phase [Recording]. The caller gets the answer even if it could not be recorded. */
    fun whileRecording(
        state: AtMostOnceState,
        phase: Recording,
        event: AtMostOnceEvent,
        nowMs: Long,
    ): AtMostOnceStep {
        val isOver =
            when (event) {
                is AtMostOnceEvent.ClaimWritten -> event.claim == phase.claim
                is AtMostOnceEvent.Tick -> nowMs >= state.call.deadlineAtMs
                else -> false
            }
        if (!isOver) return AtMostOnceStep(state)
        return AtMostOnceStep(state.copy(phase = Ended), listOf(AtMostOnceAction.Answer(phase.answer, phase.isReplay)))
    }

    /** Handles an event in the phase [Releasing]. */
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
                if (nowMs >= state.call.deadlineAtMs) AtMostOnceStep(state).fail(phase.cause) else AtMostOnceStep(state)
            else -> AtMostOnceStep(state)
        }

    private fun chosen(
        state: AtMostOnceState,
        phase: Choosing,
        attempt: AttemptRef,
        nowMs: Long,
    ): AtMostOnceStep {
        val next = state.copy(attempts = state.attempts + 1)
        if (!state.call.hasIdempotencyKey) return attempts.send(next, attempt, NO_ROW, nowMs)
        val claim = Claim(state.call.digestHex, attempt, ClaimState.CLAIMED)
        return AtMostOnceStep(
            next.copy(phase = Claiming(claim)),
            listOf(AtMostOnceAction.WriteClaim(claim, phase.rowVersion)),
        )
    }

    /** Reads the claim row, as an answer recorded earlier can be replayed without an upstream. */
    private fun notChosen(state: AtMostOnceState, phase: Choosing, failure: Failure): AtMostOnceStep {
        val isFirstClaim = state.call.hasIdempotencyKey && phase.rowVersion == NO_ROW
        if (!isFirstClaim) return AtMostOnceStep(state).fail(failure)
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
                if (current == null) AtMostOnceStep(state).fail(unavailable()) else resolveConflict(state, current)
            }
            is ClaimWriteResult.Unavailable -> AtMostOnceStep(state).fail(unavailable())
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
            row == null -> AtMostOnceStep(state).fail(phase.failureIfAbsent)
            row.claim == phase.unconfirmed -> attempts.send(state, row.claim.attempt, row.version, nowMs)
            else -> resolveConflict(state, row)
        }

    private fun resolveConflict(state: AtMostOnceState, row: ClaimRow): AtMostOnceStep {
        val claim = row.claim
        val answer = claim.answer
        return when {
            claim.digestHex != state.call.digestHex ->
                AtMostOnceStep(state).fail(Failure(ResultCode.IDEMPOTENCY_KEY_REUSED, RunState.NOT_RUN))
            claim.state == ClaimState.DONE && answer != null ->
                AtMostOnceStep(state.copy(phase = Ended), listOf(AtMostOnceAction.Answer(answer, isReplay = true)))
            claim.state == ClaimState.DONE -> outcomeUnknown(state)
            state.claimConflicts >= MAX_CLAIM_CONFLICTS -> inProgress(state)
            claim.state == ClaimState.RELEASED -> replaceClaim(state, row)
            else -> {
                val next = state.copy(phase = Asking(row), claimConflicts = state.claimConflicts + 1)
                AtMostOnceStep(next, listOf(AtMostOnceAction.Seal(claim.attempt)))
            }
        }
    }

    private fun sealAnswered(state: AtMostOnceState, row: ClaimRow, result: SealResult): AtMostOnceStep =
        when (result) {
            is SealResult.Sealed -> replaceClaim(state, row)
            is SealResult.Answered ->
                attempts.record(state, row.claim, row.version, result.answer, isReplay = true)
            is SealResult.Refused ->
                if (result.failure.runState == RunState.NOT_RUN) replaceClaim(state, row) else outcomeUnknown(state)
            is SealResult.Running -> inProgress(state)
            is SealResult.Undetermined, is SealResult.Unreachable -> outcomeUnknown(state)
        }

    /** Chooses an upstream to replace the claim in [row], whose attempt has not run and never will. */
    private fun replaceClaim(state: AtMostOnceState, row: ClaimRow): AtMostOnceStep {
        val next = state.copy(phase = Choosing(row.version), claimConflicts = state.claimConflicts + 1)
        return AtMostOnceStep(next, listOf(AtMostOnceAction.Choose(state.excludedUpstreams, isRetry = false)))
    }

    private fun released(state: AtMostOnceState, phase: Releasing, result: ClaimWriteResult): AtMostOnceStep {
        val current = (result as? ClaimWriteResult.Refused)?.current
        if (current == null) return AtMostOnceStep(state).fail(phase.cause)
        return resolveConflict(state.copy(claimConflicts = MAX_CLAIM_CONFLICTS), current)
    }

    private fun unlessDeadlinePassed(state: AtMostOnceState, nowMs: Long): AtMostOnceStep {
        if (nowMs < state.call.deadlineAtMs) return AtMostOnceStep(state)
        return AtMostOnceStep(state).fail(
            Failure(ResultCode.DEADLINE_EXCEEDED, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs),
        )
    }

    private fun inProgress(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state).fail(
            Failure(ResultCode.IDEMPOTENCY_IN_PROGRESS, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs),
        )

    private fun outcomeUnknown(state: AtMostOnceState): AtMostOnceStep =
        AtMostOnceStep(state).fail(
            Failure(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs),
        )

    private fun unavailable() =
        Failure(ResultCode.CLAIM_UNAVAILABLE, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    companion object {
        /** The version of a row that does not exist. */
        const val NO_ROW = 0L

        /** How often a request may resolve a claim of another one. At the limit, the key is reported as in progress. */
        const val MAX_CLAIM_CONFLICTS = 4
    }
}
