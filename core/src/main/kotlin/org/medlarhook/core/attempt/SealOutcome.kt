package org.medlarhook.core.attempt

/** The status of an attempt after [AttemptDispatcher.seal], and the effects that the caller must carry out. */
public data class SealOutcome<A>(
    val status: AttemptStatus<A>,
    val effects: List<AttemptEffect>,
)
