package org.medlarhook.core.order

/** An order in the form that is sent to the engine. */
public data class EngineOrder(
    val fencingNumber: FencingNumber,
    val generation: Long,
    val action: OrderAction,
)
