package org.medlarhook.core.order

/** Where a sidecar stands with the orders for its upstream. */
public sealed interface ApplierState {
    /** The highest generation that this sidecar knows to be completed; 0 if none. */
    public val completedGeneration: Long

    /** No call to the engine sent before can reach it after this time. */
    public val quietFromMs: Long

    /** When the next tick does something. */
    public val nextAtMs: Long

    /** Waits for a new row. */
    public data class Idle(
        override val completedGeneration: Long,
        override val quietFromMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState

    /** Has an order for the engine, whose outcome is not known. */
    public data class Applying(
        val row: OrderRow,
        val rowVersion: Long,
        override val completedGeneration: Long,
        override val quietFromMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState

    /** Knows the outcome, and writes it once earlier copies of the call can't reach the engine any more. */
    public data class Completing(
        val completed: OrderRow,
        val rowVersion: Long,
        override val completedGeneration: Long,
        override val quietFromMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState
}
