package org.medlarhook.sidecar.receipt

import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage

/** The receipts of one incarnation, numbered without gaps. May be called from any thread. */
internal interface ReceiptLog {
    /** The incarnation that the sequence numbers belong to. */
    val incarnation: Long

    /** Stores [draft] under the next sequence number and returns the receipt. */
    fun record(draft: Receipt.Builder): Receipt

    /** Returns at most [limit] receipts after [afterSequence], and drops those up to it, which the collector holds. */
    fun page(afterSequence: Long, limit: Int): ReceiptsPage

    /** True if collectors have acknowledged every receipt. */
    fun isFullyCollected(): Boolean

    /** Number of receipts that no collector has acknowledged. */
    fun uncollectedCount(): Int
}
