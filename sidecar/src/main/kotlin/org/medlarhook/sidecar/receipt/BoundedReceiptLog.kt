package org.medlarhook.sidecar.receipt

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

/**
 * Keeps receipts until a collector asks for those behind them. If no collector comes, the oldest are dropped at the
 * bound; entries hold a copy of each. Its lock is innermost.
 */
internal class BoundedReceiptLog(
    private val upstreamId: String,
    override val incarnation: Long,
    private val maxReceipts: Int,
) : ReceiptLog {
    private val logger = KotlinLogging.logger {}
    private val lock = Any()
    private val open = ArrayDeque<Receipt>()
    private var lastSequence = 0L

    override fun record(draft: Receipt.Builder): Receipt =
        synchronized(lock) {
            val receipt =
                draft
                    .setUpstreamId(upstreamId)
                    .setIncarnation(incarnation)
                    .setSequence(++lastSequence)
                    .build()
            open.addLast(receipt)
            if (open.size > maxReceipts) dropOldest()
            receipt
        }

    override fun page(afterSequence: Long, limit: Int): ReceiptsPage =
        synchronized(lock) {
            while (open.isNotEmpty() && open.first().sequence <= afterSequence) open.removeFirst()
            ReceiptsPage
                .newBuilder()
                .setUpstreamId(upstreamId)
                .setIncarnation(incarnation)
                .addAllReceipts(open.take(limit))
                .build()
        }

    override fun isFlushed(): Boolean = synchronized(lock) { open.isEmpty() }

    override fun openCount(): Int = synchronized(lock) { open.size }

    private fun dropOldest() {
        val dropped = open.removeFirst()
        logger.warnEvent(LogEvent.RECEIPT_DROPPED, "sequence" to dropped.sequence)
    }
}
