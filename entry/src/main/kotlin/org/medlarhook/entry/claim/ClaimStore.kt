package org.medlarhook.entry.claim

import org.medlarhook.core.claim.Claim
import org.medlarhook.core.claim.ClaimWriteResult

/**
 * Reads and writes the rows of idempotency keys. No call blocks. Callbacks run on a thread of the store, or on the
 * calling thread if a write is refused because the queue is full or the store is closed.
 */
internal interface ClaimStore {
    /** Writes [claim] if the row still has [expectedVersion], and passes the result to [done]. */
    fun write(
        key: ClaimKey,
        claim: Claim,
        expectedVersion: Long,
        done: (ClaimWriteResult) -> Unit,
    )

    /** Reads the claim of [key] and passes the result to [done]. */
    fun read(key: ClaimKey, done: (ClaimReadResult) -> Unit)
}
