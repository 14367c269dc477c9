package org.medlarhook.entry.claim

import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimWriteResult
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Write

/** A write of a claim that is queued for the next transaction. */
internal class PendingWrite(
    val key: ClaimKey,
    val claim: Claim,
    val expectedVersion: Long,
    val done: (ClaimWriteResult) -> Unit,
) {
    val row = key.row()
    val condition = Condition(row, expectedVersion)

    /** Returns the write of the encoded claim [value]. */
    fun write(value: String): Write = Write(row, value)
}
