package org.medlarhook.core.lease

/** The call that [LeaseMachine] requests next. */
public sealed interface LeaseAction {
    /** Read the lease row and then, if [LeaseMachine.needsEpoch], the epoch row. */
    public data object ReadRows : LeaseAction

    /** Send [write] to the table service. */
    public data class Send(
        val write: LeaseWrite,
    ) : LeaseAction
}
