package org.medlarhook.core.order

import org.medlarhook.ports.Transaction

/** The call that an [ApplierMachine] requires next. */
public sealed interface ApplierAction {
    /** Read the order row. */
    public data object ReadRow : ApplierAction

    /** Send [order] to the engine. */
    public data class CallEngine(
        val order: EngineOrder,
    ) : ApplierAction

    /** Write the completed order row with [transaction]. */
    public data class Complete(
        val transaction: Transaction,
    ) : ApplierAction
}
