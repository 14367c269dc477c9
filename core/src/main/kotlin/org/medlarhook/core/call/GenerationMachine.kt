package org.medlarhook.core.call

import org.medlarhook.core.call.GenerationPhase.Choosing
import org.medlarhook.core.call.GenerationPhase.Ended
import org.medlarhook.core.call.GenerationPhase.Running
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/**
 * State machine for the attempts of one generation. After a failed attempt it sends another one, whose output resumes
 * at the first token that was not yet sent to the caller. Events of any attempt but the current one are ignored.
 */
public class GenerationMachine(
    private val limits: AttemptLimits,
) {
    /** Returns the first step of a request with the deadline [deadlineAtMs]. */
    public fun start(deadlineAtMs: Long): GenerationStep {
        val state = GenerationState(deadlineAtMs)
        return GenerationStep(state, listOf(GenerationAction.Choose(state.excludedUpstreams, isRetry = false)))
    }

    /** Returns the step that follows from [event] at [nowMs]. */
    public fun step(state: GenerationState, event: GenerationEvent, nowMs: Long): GenerationStep =
        when (val phase = state.phase) {
            is Ended -> GenerationStep(state)
            is Choosing -> whileChoosing(state, event, nowMs)
            is Running -> whileRunning(state, phase, event, nowMs)
        }

    private fun whileChoosing(state: GenerationState, event: GenerationEvent, nowMs: Long): GenerationStep =
        when (event) {
            is GenerationEvent.Chosen -> send(state, event.attempt, nowMs)
            is GenerationEvent.NotChosen -> fail(state, state.lastFailure ?: event.failure)
            is GenerationEvent.CallerDisconnected -> fail(state, Failure(ResultCode.CANCELLED, state.runState()))
            is GenerationEvent.AccessWithdrawn -> fail(state, withdrawn(state))
            is GenerationEvent.CutOff -> fail(state, cutOff(state))
            is GenerationEvent.Tick ->
                if (nowMs >= state.deadlineAtMs) fail(state, deadlineExceeded(state)) else GenerationStep(state)
            else -> GenerationStep(state)
        }

    private fun send(state: GenerationState, attempt: AttemptRef, nowMs: Long): GenerationStep {
        val remainingMs = state.deadlineAtMs - nowMs
        if (remainingMs <= 0) return fail(state, deadlineExceeded(state))
        val next = state.copy(phase = Running(attempt, nowMs, firstEventSeen = false), attempts = state.attempts + 1)
        return GenerationStep(next, listOf(GenerationAction.Send(attempt, state.nextToken, remainingMs)))
    }

    private fun whileRunning(
        state: GenerationState,
        phase: Running,
        event: GenerationEvent,
        nowMs: Long,
    ): GenerationStep =
        when (event) {
            is GenerationEvent.Alive -> ifCurrent(state, phase, event.attemptId) { alive(state, phase, event, nowMs) }
            is GenerationEvent.TokensArrived ->
                ifCurrent(state, phase, event.attemptId) { tokensArrived(state, phase, event, nowMs) }
            is GenerationEvent.Completed ->
                ifCurrent(state, phase, event.attemptId) { completed(state, phase, event) }
            is GenerationEvent.Refused -> ifCurrent(state, phase, event.attemptId) { refused(state, event.failure) }
            is GenerationEvent.Broken ->
                ifCurrent(state, phase, event.attemptId) { retry(state, phase, upstreamFailed(event.detail)) }
            is GenerationEvent.Tick -> tick(state, phase, nowMs)
            is GenerationEvent.CallerDisconnected ->
                fail(state, Failure(ResultCode.CANCELLED, RunState.UNKNOWN), cancel(phase))
            is GenerationEvent.AccessWithdrawn -> fail(state, withdrawn(state.copy(mayHaveRun = true)), cancel(phase))
            is GenerationEvent.CutOff -> fail(state, cutOff(state.copy(mayHaveRun = true)), cancel(phase))
            is GenerationEvent.Chosen, is GenerationEvent.NotChosen -> GenerationStep(state)
        }

    private fun ifCurrent(
        state: GenerationState,
        phase: Running,
        attemptId: String,
        block: () -> GenerationStep,
    ): GenerationStep = if (phase.attempt.attemptId == attemptId) block() else GenerationStep(state)

    private fun alive(
        state: GenerationState,
        phase: Running,
        event: GenerationEvent.Alive,
        nowMs: Long,
    ): GenerationStep {
        val running = phase.copy(lastEventAtMs = nowMs, firstEventSeen = true)
        return GenerationStep(state.copy(phase = running, mayHaveRun = state.mayHaveRun || event.started))
    }

    private fun tokensArrived(
        state: GenerationState,
        phase: Running,
        event: GenerationEvent.TokensArrived,
        nowMs: Long,
    ): GenerationStep {
        if (event.firstIndex > state.nextToken) {
            return retry(state, phase, upstreamFailed("token ${state.nextToken} is missing"))
        }
        val newTexts = event.texts.drop(state.nextToken - event.firstIndex)
        val next =
            state.copy(
                phase = phase.copy(lastEventAtMs = nowMs, firstEventSeen = true),
                nextToken = state.nextToken + newTexts.size,
                mayHaveRun = true,
            )
        if (newTexts.isEmpty()) return GenerationStep(next)
        return GenerationStep(next, listOf(GenerationAction.Deliver(state.nextToken, newTexts)))
    }

    private fun completed(state: GenerationState, phase: Running, event: GenerationEvent.Completed): GenerationStep {
        val outputTokens = event.outputTokens ?: state.nextToken
        if (outputTokens != state.nextToken) {
            return retry(state, phase, upstreamFailed("the end came after ${state.nextToken} of $outputTokens tokens"))
        }
        val ended = state.copy(phase = Ended, mayHaveRun = true)
        return GenerationStep(ended, listOf(GenerationAction.Finish(event.finishReason, outputTokens)))
    }

    private fun refused(state: GenerationState, failure: Failure): GenerationStep {
        val next = state.copy(mayHaveRun = state.mayHaveRun || failure.runState != RunState.NOT_RUN)
        if (!failure.isRetryableIfIdempotent()) return fail(next, failure)
        return retryOrFail(next, failure, emptyList())
    }

    private fun tick(state: GenerationState, phase: Running, nowMs: Long): GenerationStep {
        val timeoutMs = if (phase.firstEventSeen) limits.silenceTimeoutMs else limits.firstEventTimeoutMs
        return when {
            nowMs >= state.deadlineAtMs -> fail(state.copy(mayHaveRun = true), deadlineExceeded(state), cancel(phase))
            nowMs - phase.lastEventAtMs >= timeoutMs -> timedOut(state, phase)
            else -> GenerationStep(state)
        }
    }

    private fun timedOut(state: GenerationState, phase: Running): GenerationStep {
        val step = retry(state, phase, upstreamFailed("the connection has gone silent"))
        return step.copy(actions = listOf(GenerationAction.ReplaceChannel(phase.attempt)) + step.actions)
    }

    private fun retry(state: GenerationState, phase: Running, failure: Failure): GenerationStep {
        val excluded = state.excludedUpstreams.add(phase.attempt.upstreamId)
        return retryOrFail(state.copy(mayHaveRun = true, excludedUpstreams = excluded), failure, cancel(phase))
    }

    private fun retryOrFail(
        state: GenerationState,
        failure: Failure,
        precedingActions: List<GenerationAction>,
    ): GenerationStep {
        if (state.attempts >= limits.maxAttempts) return fail(state, failure, precedingActions)
        val running = state.phase as? Running
        val excluded =
            running?.let { state.excludedUpstreams.add(it.attempt.upstreamId) } ?: state.excludedUpstreams
        val next = state.copy(phase = Choosing, excludedUpstreams = excluded, lastFailure = failure)
        return GenerationStep(next, precedingActions + GenerationAction.Choose(excluded, isRetry = true))
    }

    private fun fail(
        state: GenerationState,
        failure: Failure,
        precedingActions: List<GenerationAction> = emptyList(),
    ): GenerationStep {
        val reported = failure.copy(runState = combined(failure.runState, state.runState()))
        return GenerationStep(state.copy(phase = Ended), precedingActions + GenerationAction.Fail(reported))
    }

    private fun combined(first: RunState, second: RunState): RunState =
        when {
            first == RunState.RUN || second == RunState.RUN -> RunState.RUN
            first == RunState.UNKNOWN || second == RunState.UNKNOWN -> RunState.UNKNOWN
            else -> RunState.NOT_RUN
        }

    private fun GenerationState.runState(): RunState =
        when {
            nextToken > 0 -> RunState.RUN
            mayHaveRun -> RunState.UNKNOWN
            else -> RunState.NOT_RUN
        }

    private fun cancel(phase: Running): List<GenerationAction> =
        listOf(GenerationAction.Cancel(phase.attempt.attemptId))

    private fun upstreamFailed(detail: String) =
        Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, detail, limits.retryAfterMs)

    private fun withdrawn(state: GenerationState) =
        Failure(ResultCode.KEY_WITHDRAWN_DURING_REQUEST, state.runState())

    private fun cutOff(state: GenerationState): Failure {
        val runState = state.runState()
        val mayHaveRun = runState != RunState.NOT_RUN
        if (mayHaveRun) return upstreamFailed(CUT_OFF_DETAIL).copy(runState = runState)
        return Failure(ResultCode.DRAINING, runState, retryAfterMs = limits.retryAfterMs)
    }

    private fun deadlineExceeded(state: GenerationState) = Failure(ResultCode.DEADLINE_EXCEEDED, state.runState())

    private companion object {
        const val CUT_OFF_DETAIL = "the process has shut down before the output was complete"
    }
}
