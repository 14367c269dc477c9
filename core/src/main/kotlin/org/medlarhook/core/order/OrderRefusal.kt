package org.medlarhook.core.order

/** Why an order was not issued. */
public sealed interface OrderRefusal {
    /** The lease has expired or another process has acquired it. Nothing was written. */
    public data object NotInCharge : OrderRefusal

    /** The previous order is not completed. Nothing was written. */
    public data class PreviousOpen(
        val row: OrderRow,
    ) : OrderRefusal

    /** No sidecar has registered for the upstream. Nothing was written. */
    public data object UnknownUpstream : OrderRefusal

    /** A row changed after it was read, for example because the sidecar was restarted. Nothing was written. */
    public data object Conflict : OrderRefusal

    /** The tables could not be reached. Nothing was written. */
    public data object TablesUnavailable : OrderRefusal

    /** The answer of the tables was lost, and the row does not confirm the write: the order may be written yet. */
    public data class OutcomeUnknown(
        val nonce: String,
    ) : OrderRefusal
}
