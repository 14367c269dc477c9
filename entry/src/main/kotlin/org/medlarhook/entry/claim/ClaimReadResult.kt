package org.medlarhook.entry.claim

import org.medlarhook.core.claim.ClaimRow

/** What became of reading a claim. */
internal sealed interface ClaimReadResult {
    /** The row, or null if there is none. */
    data class Found(
        val row: ClaimRow?,
    ) : ClaimReadResult

    /** The row could not be read. */
    data object Failed : ClaimReadResult
}
