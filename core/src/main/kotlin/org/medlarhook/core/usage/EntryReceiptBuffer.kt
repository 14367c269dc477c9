package org.medlarhook.core.usage

import java.util.TreeMap

/**
 * An entry's copies of receipts. A copy is kept until a collector has committed it, so that no receipt is lost with
 * its sidecar. All functions may be called from any thread.
 *
 * @param capacity maximum number of copies.
 */
public class EntryReceiptBuffer(
    private val capacity: Int,
) {
    private val lock = Any()
    private val copies = HashMap<ReceiptSource, TreeMap<Long, UsageReceipt>>()
    private var count = 0

    /** True if, beside the stored copies and those of [inFlight] attempts, there is room for one more copy. */
    public fun hasRoom(inFlight: Int): Boolean = synchronized(lock) { count + inFlight < capacity }

    /** Stores [receipt], or returns false if there is no room. A second copy of a receipt has no effect. */
    public fun keep(receipt: UsageReceipt): Boolean =
        synchronized(lock) {
            if (count >= capacity) return@synchronized false
            val previous = copies.getOrPut(receipt.source) { TreeMap() }.put(receipt.sequence, receipt)
            if (previous == null) count++
            true
        }

    /** Returns the sources of the stored copies. */
    public fun sources(): Set<ReceiptSource> = synchronized(lock) { copies.keys.toSet() }

    /** Returns up to [limit] copies of [source], in ascending order of their sequence numbers. */
    public fun page(source: ReceiptSource, limit: Int): List<UsageReceipt> =
        synchronized(lock) { copies[source]?.values?.take(limit).orEmpty() }

    /** Drops the copies of [source] up to [sequence], the watermark of the collector. */
    public fun dropUpTo(source: ReceiptSource, sequence: Long) {
        synchronized(lock) { remove(source) { it <= sequence } }
    }

    /** Drops the copies of [receipts], all of which a collector has committed. */
    public fun drop(receipts: List<UsageReceipt>) {
        synchronized(lock) {
            receipts.groupBy { it.source }.forEach { (source, group) ->
                val sequences = group.map { it.sequence }.toSet()
                remove(source) { it in sequences }
            }
        }
    }

    /** Number of stored copies. */
    public val size: Int get() = synchronized(lock) { count }

    private fun remove(source: ReceiptSource, matches: (Long) -> Boolean) {
        val stored = copies[source] ?: return
        val dropped = stored.keys.filter(matches)
        dropped.forEach { stored.remove(it) }
        count -= dropped.size
        if (stored.isEmpty()) copies.remove(source)
    }
}
