package org.medlarhook.core.lease

import org.medlarhook.ports.Row

/** An input of [LeaseMachine]. */
public sealed interface LeaseEvent {
    /** Time has passed; a due call is requested. */
    public data object Tick : LeaseEvent

    /**
     * The lease row was read, and the epoch row if it was needed.
     *
     * @property mayAcquire false if the process already holds or acquires as many leases as it may.
     */
    public data class RowsRead(
        val lease: Row?,
        val epoch: Row?,
        val mayAcquire: Boolean,
    ) : LeaseEvent

    /** The tables could not be reached, so nothing was read or written. */
    public data object Unreachable : LeaseEvent

    /** The write took effect; [version] is the new version of the written rows. */
    public data class Written(
        val version: Long,
    ) : LeaseEvent

    /** A row had changed before the write, possibly by an earlier copy of the same write. */
    public data object Conflicted : LeaseEvent

    /** The answer to the write was lost. */
    public data object OutcomeLost : LeaseEvent

    /** The process releases the lease. Its outbound calls have ended. */
    public data object Release : LeaseEvent
}
