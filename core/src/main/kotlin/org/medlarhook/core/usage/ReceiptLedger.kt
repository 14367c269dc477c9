package org.medlarhook.core.usage

/**
 * The receipts of one incarnation of a sidecar that no collector has committed yet. Callers check [hasRoom] before they
 * accept work, so that there is room for the receipt of each finished attempt. All functions may be called from any
 * thread.
 *
 * @param capacity maximum number of open receipts together with attempts in flight.
 */
public class ReceiptLedger(
    private val source: ReceiptSource,
    private val capacity: Int,
) {
    private val lock = Any()
    private val open = ArrayDeque<UsageReceipt>()
    private var lastSequence = 0L

    /** True if, beside the open receipts and those of [inFlight] attempts, there is room for one more receipt. */
    public fun hasRoom(inFlight: Int): Boolean = synchronized(lock) { open.size + inFlight < capacity }

    /** Stores and returns [draft] with the source of this ledger and the next sequence number. */
    public fun append(draft: UsageReceipt): UsageReceipt =
        synchronized(lock) {
            lastSequence++
            val receipt = draft.copy(source = source, sequence = lastSequence)
            open.addLast(receipt)
            receipt
        }

    /** Drops the receipts up to [sequence], the watermark of the collector, unless it is of another [incarnation]. */
    public fun dropUpTo(incarnation: Long, sequence: Long) {
        synchronized(lock) {
            if (incarnation != source.incarnation) return
            while (open.isNotEmpty() && open.first().sequence <= sequence) open.removeFirst()
        }
    }

    /** Returns up to [limit] open receipts above [afterSequence], in ascending order. */
    public fun page(afterSequence: Long, limit: Int): List<UsageReceipt> =
        synchronized(lock) { open.filter { it.sequence > afterSequence }.take(limit) }

    /** Number of open receipts. */
    public val size: Int get() = synchronized(lock) { open.size }
}
