package org.medlarhook.entry.directory

import org.medlarhook.protocol.ReceiptsAck
import org.medlarhook.protocol.ReceiptsPage

/** Takes copies of receipts that another entry offers. */
internal fun interface ReceiptOffers {
    /** Commits [page] and returns how far its source is covered, or null if this entry does not collect for it. */
    fun accept(page: ReceiptsPage): ReceiptsAck?
}
