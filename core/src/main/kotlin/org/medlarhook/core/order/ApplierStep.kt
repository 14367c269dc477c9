package org.medlarhook.core.order

/** The next state, and the action whose result is the next event. Without an action, it is a tick or a hint. */
public data class ApplierStep(
    val state: ApplierState,
    val action: ApplierAction? = null,
)
