package org.medlarhook.sidecar.receipt

import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage

/** The numbered receipts of one incarnation. May be called from any thread. */
internal interface ReceiptLog {
    /** The incarnation that the receipts are numbered under. */
    val incarnation: Long

    /** Numbers [draft], keeps it and returns it. */
    fun record(draft: Receipt.Builder): Receipt

    /** Returns at most [limit] receipts above [afterSequence]; the caller holds all up to that one. */
    fun page(afterSequence: Long, limit: Int): ReceiptsPage

    /** True if a collector holds every receipt. */
    fun isFlushed(): Boolean

    /** Receipts that no collector is known to hold. */
    fun openCount(): Int
}
