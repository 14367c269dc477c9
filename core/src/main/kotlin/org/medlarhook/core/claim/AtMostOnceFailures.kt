package org.medlarhook.core.claim

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.RunState

/** Ends the call with [failure]. It is reported as not run only if no attempt of this request can have run. */
internal fun AtMostOnceStep.fail(failure: Failure): AtMostOnceStep {
    val isUncertain = failure.runState == RunState.NOT_RUN && state.mayHaveRun
    val reported = if (isUncertain) failure.copy(runState = RunState.UNKNOWN) else failure
    return AtMostOnceStep(state.copy(phase = AtMostOncePhase.Ended), actions + AtMostOnceAction.Fail(reported))
}
