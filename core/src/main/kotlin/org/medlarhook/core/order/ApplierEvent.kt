package org.medlarhook.core.order

import org.medlarhook.ports.Row

/** An event that an [ApplierMachine] handles. */
public sealed interface ApplierEvent {
    /** Time has passed: a poll or a retry may be due. */
    public data object Tick : ApplierEvent

    /** A notification of a new order has arrived; only the row is relied on. */
    public data object Hint : ApplierEvent

    /** The order row was read; null if there is none. */
    public data class RowRead(
        val row: Row?,
    ) : ApplierEvent

    /** The row could not be read. */
    public data object ReadFailed : ApplierEvent

    /** The call to the engine has ended with [outcome]. */
    public data class EngineAnswered(
        val outcome: EngineOutcome,
    ) : ApplierEvent

    /** The completed order row was written. */
    public data object Completed : ApplierEvent

    /** The completed order row was not written, or the outcome of the write is unknown. */
    public data object CompletionFailed : ApplierEvent
}
