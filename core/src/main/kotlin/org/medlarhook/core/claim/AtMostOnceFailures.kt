package org.medlarhook.core.claim

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.RunState

/** Ends the call with [failure], which never claims less of a run than what is known of the attempts. */
internal fun AtMostOnceStep.failed(failure: Failure): AtMostOnceStep {
    val isTooSure = failure.runState == RunState.NOT_RUN && state.mayHaveRun
    val honest = if (isTooSure) failure.copy(runState = RunState.UNKNOWN) else failure
    return AtMostOnceStep(state.copy(phase = AtMostOncePhase.Ended), actions + AtMostOnceAction.Fail(honest))
}
