package org.medlarhook.core.usage

/**
 * The receipts of one incarnation of a sidecar that no collector has committed yet. Callers ask [hasRoom] before they
 * take work in, so that a finished attempt always finds its place. All functions may be called from any thread.
 */
public class ReceiptLedger(
    private val source: ReceiptSource,
    private val capacity: Int,
) {
    private val lock = Any()
    private val open = ArrayDeque<UsageReceipt>()
    private var lastSequence = 0L

    /** Says whether [inFlight] attempts and the open receipts leave room for one more attempt. */
    public fun hasRoom(inFlight: Int): Boolean = synchronized(lock) { open.size + inFlight < capacity }

    /** Numbers [draft], whose source and sequence are replaced, and keeps it. */
    public fun append(draft: UsageReceipt): UsageReceipt =
        synchronized(lock) {
            lastSequence++
            val receipt = draft.copy(source = source, sequence = lastSequence)
            open.addLast(receipt)
            receipt
        }

    /** Drops what a collector has committed: all up to [sequence]. Another incarnation's watermark is ignored. */
    public fun dropUpTo(incarnation: Long, sequence: Long) {
        synchronized(lock) {
            if (incarnation != source.incarnation) return
            while (open.isNotEmpty() && open.first().sequence <= sequence) open.removeFirst()
        }
    }

    /** The first [limit] open receipts above [afterSequence]. */
    public fun page(afterSequence: Long, limit: Int): List<UsageReceipt> =
        synchronized(lock) { open.filter { it.sequence > afterSequence }.take(limit) }

    /** How many receipts are open. */
    public val size: Int get() = synchronized(lock) { open.size }
}
