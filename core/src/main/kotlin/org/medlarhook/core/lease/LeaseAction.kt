package org.medlarhook.core.lease

/** What the state machine asks for next. */
public sealed interface LeaseAction {
    /** Read the lease row, then the epoch row. */
    public data object ReadRows : LeaseAction

    /** Send [write]. */
    public data class Send(
        val write: LeaseWrite,
    ) : LeaseAction
}
