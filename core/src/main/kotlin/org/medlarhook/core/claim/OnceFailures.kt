package org.medlarhook.core.claim

import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.RunState

/** Ends the call with [failure], which never claims less of a run than what is known of the attempts. */
internal fun OnceStep.failed(failure: Failure): OnceStep {
    val isTooSure = failure.runState == RunState.NOT_RUN && state.mayHaveRun
    val honest = if (isTooSure) failure.copy(runState = RunState.UNKNOWN) else failure
    return OnceStep(state.copy(phase = OncePhase.Ended), actions + OnceAction.Fail(honest))
}
