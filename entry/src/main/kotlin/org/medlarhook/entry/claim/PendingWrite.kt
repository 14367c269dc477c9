package org.medlarhook.entry.claim

import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimWriteResult
import org.medlarhook.ports.Condition
import org.medlarhook.ports.Write

/** A write of a claim that waits for its transaction. */
internal class PendingWrite(
    val key: ClaimKey,
    val claim: Claim,
    val expectedVersion: Long,
    val done: (ClaimWriteResult) -> Unit,
) {
    val row = key.row()
    val condition = Condition(row, expectedVersion)

    fun write(value: String): Write = Write(row, value)
}
