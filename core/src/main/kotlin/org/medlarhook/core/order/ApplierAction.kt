package org.medlarhook.core.order

import org.medlarhook.ports.Transaction

/** What the state machine of a sidecar's orders asks for next. */
public sealed interface ApplierAction {
    /** Read the order row. */
    public data object ReadRow : ApplierAction

    /** Send [order] to the engine. */
    public data class CallEngine(
        val order: EngineOrder,
    ) : ApplierAction

    /** Write the completion. */
    public data class Complete(
        val transaction: Transaction,
    ) : ApplierAction
}
