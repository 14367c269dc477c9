package org.medlarhook.core.routing

import com.google.common.hash.Hashing

/**
 * Rendezvous (highest random weight) hashing by Thaler and Ravishankar: ranks members for a key so that a change of
 * membership moves only the keys of the changed member.
 */
public object RendezvousHash {
    private val hash = Hashing.murmur3_128()

    /** The weight of [member] for [key]; the member with the highest weight owns the key. Equal in all processes. */
    public fun weight(key: Long, member: String): Long =
        hash.newHasher().putLong(key).putUnencodedChars(member).hash().asLong()

    /** The [count] members with the highest weights for [key], in descending order. */
    public fun <T> top(key: Long, members: List<T>, count: Int, name: (T) -> String): List<T> =
        members.map { it to weight(key, name(it)) }.sortedByDescending { it.second }.take(count).map { it.first }
}
