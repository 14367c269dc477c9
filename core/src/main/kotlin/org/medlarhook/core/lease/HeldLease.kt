package org.medlarhook.core.lease

/** A lease as its holder knows it. */
public data class HeldLease(
    val authority: Authority,
    val row: LeaseRow,
    val leaseRowVersion: Long,
)
