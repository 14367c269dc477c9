package org.medlarhook.core.lease

/** A lease from the point of view of its holder: its authority, and the lease row as last written. */
public data class HeldLease(
    val authority: Authority,
    val row: LeaseRow,
    val leaseRowVersion: Long,
)
