package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** The committed receipts of one source: all up to [watermark], and those in [above] that arrived out of order. */
@Serializable
public data class SequenceSet(
    val watermark: Long = 0,
    val above: Set<Long> = emptySet(),
) {
    /** True if [sequence] is committed. */
    public operator fun contains(sequence: Long): Boolean = sequence <= watermark || sequence in above

    /** Returns the set with [sequences] added, and with the watermark raised up to the first gap. */
    public operator fun plus(sequences: Iterable<Long>): SequenceSet {
        val all = above.toMutableSet()
        all.addAll(sequences)
        var next = watermark
        while (all.remove(next + 1)) next++
        return SequenceSet(next, all.filter { it > next }.toSortedSet())
    }
}
