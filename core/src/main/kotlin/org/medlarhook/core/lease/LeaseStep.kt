package org.medlarhook.core.lease

/** Result of one event: the next state and the call to perform, or no call until the next tick. */
public data class LeaseStep(
    val state: LeaseState,
    val action: LeaseAction? = null,
)
