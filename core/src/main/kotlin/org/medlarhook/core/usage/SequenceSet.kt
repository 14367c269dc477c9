package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/** The receipts of one source that are committed: all up to [watermark], and [above] it those that came early. */
@Serializable
public data class SequenceSet(
    val watermark: Long = 0,
    val above: Set<Long> = emptySet(),
) {
    /** Says whether [sequence] is committed. */
    public operator fun contains(sequence: Long): Boolean = sequence <= watermark || sequence in above

    /** Adds [sequences] and raises the watermark over those that follow without a gap. */
    public operator fun plus(sequences: Iterable<Long>): SequenceSet {
        val all = above.toMutableSet()
        all.addAll(sequences)
        var next = watermark
        while (all.remove(next + 1)) next++
        return SequenceSet(next, all.filter { it > next }.toSortedSet())
    }
}
