package org.medlarhook.entry.claim

import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimWriteResult

/** The rows of idempotency keys. No call blocks; results come on a thread of the store. */
internal interface ClaimStore {
    /** Writes [claim] if the row still has [expectedVersion]. */
    fun write(
        key: ClaimKey,
        claim: Claim,
        expectedVersion: Long,
        done: (ClaimWriteResult) -> Unit,
    )

    /** Reads the row. */
    fun read(key: ClaimKey, done: (ClaimReadResult) -> Unit)
}
