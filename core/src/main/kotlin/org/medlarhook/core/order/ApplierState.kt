package org.medlarhook.core.order

/** The state of an [ApplierMachine]. */
public sealed interface ApplierState {
    /** The highest generation that was read or written as completed; 0 if none. */
    public val completedGeneration: Long

    /** The time from which no earlier call to the engine can reach it any more. */
    public val engineSettledAtMs: Long

    /** The time from which a tick leads to the next action. */
    public val nextAtMs: Long

    /** Waits for a new order row. */
    public data class Idle(
        override val completedGeneration: Long,
        override val engineSettledAtMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState

    /** Sends the order in [row] to the engine, until its outcome is known. */
    public data class Applying(
        val row: OrderRow,
        val rowVersion: Long,
        override val completedGeneration: Long,
        override val engineSettledAtMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState

    /** Has the outcome, and writes it to the row once no earlier copy of the call can reach the engine. */
    public data class Completing(
        val completed: OrderRow,
        val rowVersion: Long,
        override val completedGeneration: Long,
        override val engineSettledAtMs: Long,
        override val nextAtMs: Long,
    ) : ApplierState
}
