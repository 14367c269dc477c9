package org.medlarhook.entry.claim

import org.medlarhook.core.claim.ClaimRow

/** The outcome of reading a claim. */
internal sealed interface ClaimReadResult {
    /** The row was read; [row] is null if it does not exist. */
    data class Found(
        val row: ClaimRow?,
    ) : ClaimReadResult

    /** The row could not be read. */
    data object Failed : ClaimReadResult
}
