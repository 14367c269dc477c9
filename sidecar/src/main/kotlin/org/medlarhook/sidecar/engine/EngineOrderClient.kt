package org.medlarhook.sidecar.engine

/** Sends orders to the engine. */
internal interface EngineOrderClient {
    /** Sends one order and blocks until it is completed. Retries of an order carry the same [fencingNumber]. */
    fun apply(action: EngineAction, fencingNumber: Long): EngineReply
}
