package org.medlarhook.core.routing

import java.util.TreeSet

/**
 * Deterministic bounded subsets: each entry watches [size] upstreams of its data centre.
 *
 * Every entry computes the same assignment from the same membership. Upstreams are taken by rendezvous weight while
 * they have room, so that no upstream is watched by many more entries than another and a change of membership moves
 * few subsets.
 */
public class Subsetting(
    private val size: Int,
) {
    /** The subset of [entryId]; all of [upstreamIds] if there are no more than the size. */
    public fun subset(entryId: String, entryIds: Set<String>, upstreamIds: Set<String>): Set<String> =
        assignment(entryIds + entryId, upstreamIds).getValue(entryId)

    internal fun assignment(entryIds: Set<String>, upstreamIds: Set<String>): Map<String, Set<String>> {
        if (upstreamIds.size <= size) return entryIds.associateWith { upstreamIds }
        val capacity = (entryIds.size * size + upstreamIds.size - 1) / upstreamIds.size
        val watchers = upstreamIds.associateWithTo(mutableMapOf()) { 0 }
        val members = upstreamIds.sorted()
        return TreeSet(entryIds).associateWith { entryId ->
            val ranked = members.sortedByDescending { RendezvousHash.weight(ENTRY_KEY, "$entryId/$it") }
            val roomy = ranked.filter { watchers.getValue(it) < capacity }
            val rest = ranked.filterNot { it in roomy }.sortedBy { watchers.getValue(it) }
            val chosen = (roomy + rest).take(size)
            chosen.forEach { watchers.merge(it, 1, Int::plus) }
            chosen.toSet()
        }
    }

    private companion object {
        const val ENTRY_KEY = 0L
    }
}
