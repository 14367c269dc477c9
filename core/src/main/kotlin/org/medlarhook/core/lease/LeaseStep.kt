package org.medlarhook.core.lease

/** The next state, and the action that leads to the next event; without an action, ticks do. */
public data class LeaseStep(
    val state: LeaseState,
    val action: LeaseAction? = null,
)
