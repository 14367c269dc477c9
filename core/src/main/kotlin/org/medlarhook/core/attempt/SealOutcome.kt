package org.medlarhook.core.attempt

/** The status of a sealed attempt and what must be done for it. */
public data class SealOutcome<A>(
    val status: AttemptStatus<A>,
    val effects: List<AttemptEffect>,
)
