package org.medlarhook.core.routing

import java.util.TreeSet

/**
 * Deterministic subsetting: each entry watches at most [size] upstreams of its data centre.
 *
 * Every entry computes the same assignment from the same membership. An entry watches the upstreams with the highest
 * rendezvous weights that are below their capacity of watching entries. The numbers of entries that watch two upstreams
 * therefore differ little, and a change of membership changes few subsets.
 *
 * @param size the number of upstreams that each entry watches.
 */
public class Subsetting(
    private val size: Int,
) {
    /** The upstreams that [entryId] watches; all of [upstreamIds] if there are at most [size]. */
    public fun subset(entryId: String, entryIds: Set<String>, upstreamIds: Set<String>): Set<String> =
        assignment(entryIds + entryId, upstreamIds).getValue(entryId)

    /** The subset of each entry. */
    internal fun assignment(entryIds: Set<String>, upstreamIds: Set<String>): Map<String, Set<String>> {
        if (upstreamIds.size <= size) return entryIds.associateWith { upstreamIds }
        val capacity = (entryIds.size * size + upstreamIds.size - 1) / upstreamIds.size
        val watcherCounts = upstreamIds.associateWithTo(mutableMapOf()) { 0 }
        val members = upstreamIds.sorted()
        return TreeSet(entryIds).associateWith { entryId ->
            val ranked = members.sortedByDescending { RendezvousHash.weight(ENTRY_KEY, "$entryId/$it") }
            val belowCapacity = ranked.filter { watcherCounts.getValue(it) < capacity }
            val rest = ranked.filterNot { it in belowCapacity }.sortedBy { watcherCounts.getValue(it) }
            val chosen = (belowCapacity + rest).take(size)
            chosen.forEach { watcherCounts.merge(it, 1, Int::plus) }
            chosen.toSet()
        }
    }

    private companion object {
        const val ENTRY_KEY = 0L
    }
}
