package org.medlarhook.core.order

/** The next state, and the action that leads to the next event; without an action, ticks and hints do. */
public data class ApplierStep(
    val state: ApplierState,
    val action: ApplierAction? = null,
)
