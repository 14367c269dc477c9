package org.medlarhook.core.order

/** Why an order was not issued. */
public sealed interface OrderRefusal {
    /** The lease has lapsed or passed to another process. Nothing was written. */
    public data object NotInCharge : OrderRefusal

    /** The present order is not completed. Nothing was written. */
    public data class PreviousOpen(
        val row: OrderRow,
    ) : OrderRefusal

    /** No sidecar has registered for the upstream. Nothing was written. */
    public data object UnknownUpstream : OrderRefusal

    /** Another row changed first, such as by a restarted sidecar. Nothing was written. */
    public data object Conflict : OrderRefusal

    /** The tables were not reached. Nothing was written. */
    public data object TablesUnavailable : OrderRefusal

    /** The answer was lost and the row could not be read. The order may stand; the row tells later. */
    public data class OutcomeUnknown(
        val nonce: String,
    ) : OrderRefusal
}
