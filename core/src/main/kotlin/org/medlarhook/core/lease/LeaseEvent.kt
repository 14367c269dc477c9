package org.medlarhook.core.lease

import org.medlarhook.ports.Row

/** What happens to a process that holds or wants a lease. */
public sealed interface LeaseEvent {
    /** Time has passed. */
    public data object Tick : LeaseEvent

    /** Both rows were read. [mayAcquire] is false if the process holds as many leases as it may. */
    public data class RowsRead(
        val lease: Row?,
        val epoch: Row?,
        val mayAcquire: Boolean,
    ) : LeaseEvent

    /** The tables could not be read, or a write did not reach them. */
    public data object Unreachable : LeaseEvent

    /** The write took effect with [version]. */
    public data class Written(
        val version: Long,
    ) : LeaseEvent

    /** A row had changed. An earlier copy of the same write may be the reason. */
    public data object Conflicted : LeaseEvent

    /** The answer to the write was lost. */
    public data object OutcomeLost : LeaseEvent

    /** The process wants to hand the lease back; its outward calls have ended. */
    public data object Release : LeaseEvent
}
