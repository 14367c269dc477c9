package org.medlarhook.entry.directory

import org.medlarhook.protocol.ReceiptsAck
import org.medlarhook.protocol.ReceiptsPage

/** Receives copies of receipts from other entries. */
internal fun interface ReceiptPageHandler {
    /**
     * Commits [page] and returns the acknowledgement with the highest sequence number that its source may drop, or null
     * if this entry does not collect receipts for that source.
     */
    fun accept(page: ReceiptsPage): ReceiptsAck?
}
