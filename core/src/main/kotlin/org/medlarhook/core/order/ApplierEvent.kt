package org.medlarhook.core.order

import org.medlarhook.ports.Row

/** What happens to a sidecar that applies orders. */
public sealed interface ApplierEvent {
    /** Time has passed. */
    public data object Tick : ApplierEvent

    /** Someone says that there is a new order. */
    public data object Hint : ApplierEvent

    /** The order row was read; null if there is none. */
    public data class RowRead(
        val row: Row?,
    ) : ApplierEvent

    /** The row could not be read. */
    public data object ReadFailed : ApplierEvent

    /** The engine answered, or did not. */
    public data class EngineAnswered(
        val outcome: EngineOutcome,
    ) : ApplierEvent

    /** The completion is written. */
    public data object Completed : ApplierEvent

    /** The completion could not be written, or it is not known whether it was. */
    public data object CompletionFailed : ApplierEvent
}
