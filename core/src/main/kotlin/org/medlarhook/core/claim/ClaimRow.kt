package org.medlarhook.core.claim

/** A claim as read, with the version that a conditional write names. */
public data class ClaimRow(
    val claim: Claim,
    val version: Long,
)
