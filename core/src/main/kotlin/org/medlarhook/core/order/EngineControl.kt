package org.medlarhook.core.order

/** The orders that an engine takes. One adapter for each kind of engine. */
public interface EngineControl {
    /** Carries [order] out, blocking up to the adapter's timeout. */
    public fun apply(order: EngineOrder): EngineOutcome
}
