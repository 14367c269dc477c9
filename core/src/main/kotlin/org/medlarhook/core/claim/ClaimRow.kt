package org.medlarhook.core.claim

/** A claim that was read, with the row version for a conditional write. */
public data class ClaimRow(
    val claim: Claim,
    val version: Long,
)
