package org.medlarhook.core.order

/** An order as the engine gets it. */
public data class EngineOrder(
    val fencingNumber: FencingNumber,
    val generation: Long,
    val action: OrderAction,
)
