package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.claim.AtMostOncePhase.Asking
import org.medlarhook.core.claim.AtMostOncePhase.Choosing
import org.medlarhook.core.claim.AtMostOncePhase.Claiming
import org.medlarhook.core.claim.AtMostOncePhase.Ended
import org.medlarhook.core.claim.AtMostOncePhase.Reading
import org.medlarhook.core.claim.AtMostOncePhase.Recording
import org.medlarhook.core.claim.AtMostOncePhase.Releasing
import org.medlarhook.core.claim.AtMostOncePhase.Sending
import org.medlarhook.core.claim.AtMostOncePhase.Settling
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState

/** The final answer of a call that still runs when the process ends. */
internal class CutOffRules(
    private val limits: AttemptLimits,
) {
    /** Ends the call. An answer that is only waiting to be recorded is given to the caller without that. */
    fun step(state: AtMostOnceState): AtMostOnceStep =
        when (val phase = state.phase) {
            is Choosing, is Claiming, is Reading ->
                AtMostOnceStep(state).fail(if (state.mayHaveRun) unfinished(state) else notRun())
            is Asking, is Sending, is Settling -> AtMostOnceStep(state).fail(unfinished(state))
            is Recording ->
                AtMostOnceStep(
                    state.copy(phase = Ended),
                    listOf(AtMostOnceAction.Answer(phase.answer, phase.isReplay)),
                )
            is Releasing -> AtMostOnceStep(state).fail(phase.cause)
            is Ended -> AtMostOnceStep(state)
        }

    private fun notRun() = Failure(ResultCode.DRAINING, RunState.NOT_RUN, retryAfterMs = limits.retryAfterMs)

    private fun unfinished(state: AtMostOnceState): Failure {
        val code = if (state.call.idempotent) ResultCode.UPSTREAM_FAILED else ResultCode.OUTCOME_UNKNOWN
        return Failure(code, RunState.UNKNOWN, retryAfterMs = limits.retryAfterMs)
    }
}
