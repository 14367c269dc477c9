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

/**
 * State machine for one call of a plain service, so that the call runs at most once.
 *
 * With an idempotency key, no attempt is sent before the claim row names it, and another attempt may replace it in the
 * row only after the sidecar has refused the first one for good. Without a key, the sidecar is asked for the outcome of
 * an attempt whose answer is lost, and the attempt is not sent again. A new attempt is sent only if the previous one
 * has certainly not run, or if the route is declared idempotent.
 */
public class AtMostOnceMachine(
    limits: AttemptLimits,
) {
    private val attempts = AttemptRules(limits)
    private val claims = ClaimRules(limits, attempts)
    private val cutOff = CutOffRules(limits)

    /** Returns the first step of [request]. */
    public fun start(request: AtMostOnceRequest): AtMostOnceStep {
        val state = AtMostOnceState(request, Choosing(ClaimRules.NO_ROW))
        return AtMostOnceStep(state, listOf(AtMostOnceAction.Choose(state.excludedUpstreams, isRetry = false)))
    }

    /** Returns the step that follows from [event] at [nowMs]. */
    public fun step(state: AtMostOnceState, event: AtMostOnceEvent, nowMs: Long): AtMostOnceStep =
        if (event is AtMostOnceEvent.CutOff) cutOff.step(state) else stepInPhase(state, event, nowMs)

    private fun stepInPhase(state: AtMostOnceState, event: AtMostOnceEvent, nowMs: Long): AtMostOnceStep =
        when (val phase = state.phase) {
            is Choosing -> claims.whileChoosing(state, phase, event, nowMs)
            is Claiming -> claims.whileClaiming(state, phase, event, nowMs)
            is Reading -> claims.whileReading(state, phase, event, nowMs)
            is Asking -> claims.whileAsking(state, phase, event, nowMs)
            is Sending -> attempts.whileSending(state, phase, event, nowMs)
            is Settling -> attempts.whileSettling(state, phase, event, nowMs)
            is Recording -> claims.whileRecording(state, phase, event, nowMs)
            is Releasing -> claims.whileReleasing(state, phase, event, nowMs)
            is Ended -> AtMostOnceStep(state)
        }
}
