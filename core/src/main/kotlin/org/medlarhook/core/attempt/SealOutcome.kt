package org.medlarhook.core.attempt

/** The fate of a sealed attempt and what must be done for it. */
public data class SealOutcome<A>(
    val fate: AttemptFate<A>,
    val effects: List<AttemptEffect>,
)
