package org.medlarhook.sidecar.engine

/** Gives orders to the engine. */
internal interface EngineOrderClient {
    /** Sends one order and waits for its completion. Repeats of an order carry the same [fencingNumber]. */
    fun apply(action: EngineAction, fencingNumber: Long): EngineReply
}
