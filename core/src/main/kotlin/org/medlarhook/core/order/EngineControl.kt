package org.medlarhook.core.order

/** Sends orders to an engine. Each kind of engine has its own adapter. */
public interface EngineControl {
    /** Has the engine carry out [order], and blocks up to the time-out of the adapter. */
    public fun apply(order: EngineOrder): EngineOutcome
}
