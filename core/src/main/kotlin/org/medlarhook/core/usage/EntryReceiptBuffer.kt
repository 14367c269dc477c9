package org.medlarhook.core.usage

import java.util.TreeMap

/**
 * An entry's copies of receipts, kept until a collector has committed them, so that a lost sidecar loses no bill.
 * All functions may be called from any thread.
 */
public class EntryReceiptBuffer(
    private val capacity: Int,
) {
    private val lock = Any()
    private val copies = HashMap<ReceiptSource, TreeMap<Long, UsageReceipt>>()
    private var count = 0

    /** Says whether [inFlight] attempts and the kept copies leave room for one more attempt. */
    public fun hasRoom(inFlight: Int): Boolean = synchronized(lock) { count + inFlight < capacity }

    /** Keeps [receipt]; false if there is no room. A second copy changes nothing. */
    public fun keep(receipt: UsageReceipt): Boolean =
        synchronized(lock) {
            if (count >= capacity) return@synchronized false
            val previous = copies.getOrPut(receipt.source) { TreeMap() }.put(receipt.sequence, receipt)
            if (previous == null) count++
            true
        }

    /** The sources of which copies are kept. */
    public fun sources(): Set<ReceiptSource> = synchronized(lock) { copies.keys.toSet() }

    /** The first [limit] copies of [source]. */
    public fun page(source: ReceiptSource, limit: Int): List<UsageReceipt> =
        synchronized(lock) { copies[source]?.values?.take(limit).orEmpty() }

    /** Drops the copies of [source] up to the collector's watermark. */
    public fun dropUpTo(source: ReceiptSource, sequence: Long) {
        synchronized(lock) { remove(source) { it <= sequence } }
    }

    /** Drops [receipts], which a collector has committed as a whole. */
    public fun drop(receipts: List<UsageReceipt>) {
        synchronized(lock) {
            receipts.groupBy { it.source }.forEach { (source, group) ->
                val sequences = group.map { it.sequence }.toSet()
                remove(source) { it in sequences }
            }
        }
    }

    /** How many copies are kept. */
    public val size: Int get() = synchronized(lock) { count }

    private fun remove(source: ReceiptSource, matches: (Long) -> Boolean) {
        val kept = copies[source] ?: return
        val gone = kept.keys.filter(matches)
        gone.forEach { kept.remove(it) }
        count -= gone.size
        if (kept.isEmpty()) copies.remove(source)
    }
}
