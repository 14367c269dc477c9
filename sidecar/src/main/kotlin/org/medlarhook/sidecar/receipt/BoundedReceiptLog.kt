package org.medlarhook.sidecar.receipt

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

/**
 * Keeps receipts until a collector requests later ones, which acknowledges the earlier ones. If no collector does so,
 * the oldest receipts are dropped beyond [maxReceipts]; entries hold a copy of each.
 *
 * Lock order: no other lock of the sidecar is acquired while this log's lock is held.
 */
internal class BoundedReceiptLog(
    private val upstreamId: String,
    override val incarnation: Long,
    private val maxReceipts: Int,
) : ReceiptLog {
    private val logger = KotlinLogging.logger {}
    private val lock = Any()
    private val uncollected = ArrayDeque<Receipt>()
    private var lastSequence = 0L

    override fun record(draft: Receipt.Builder): Receipt =
        synchronized(lock) {
            val receipt =
                draft
                    .setUpstreamId(upstreamId)
                    .setIncarnation(incarnation)
                    .setSequence(++lastSequence)
                    .build()
            uncollected.addLast(receipt)
            if (uncollected.size > maxReceipts) dropOldest()
            receipt
        }

    override fun page(afterSequence: Long, limit: Int): ReceiptsPage =
        synchronized(lock) {
            while (uncollected.isNotEmpty() && uncollected.first().sequence <= afterSequence) uncollected.removeFirst()
            ReceiptsPage
                .newBuilder()
                .setUpstreamId(upstreamId)
                .setIncarnation(incarnation)
                .addAllReceipts(uncollected.take(limit))
                .build()
        }

    override fun isFullyCollected(): Boolean = synchronized(lock) { uncollected.isEmpty() }

    override fun uncollectedCount(): Int = synchronized(lock) { uncollected.size }

    private fun dropOldest() {
        val dropped = uncollected.removeFirst()
        logger.warnEvent(LogEvent.RECEIPT_DROPPED, "sequence" to dropped.sequence)
    }
}
