package org.medlarhook.core.lease

import com.google.common.hash.Hashing

/** Selects the few processes that watch a lease, so that reads do not grow with the number of processes. */
public object LeaseCandidates {
    /**
     * True if [self] is among the [count] candidates for [scope] by rendezvous hashing over [members].
     *
     * If processes have different sets of members, the cost is extra reads or a later take-over. Safety does not
     * depend on the sets.
     */
    public fun isCandidate(
        scope: LeaseScope,
        self: String,
        members: Set<String>,
        count: Int,
    ): Boolean {
        val ownWeight = weight(scope, self)
        return members.count { it != self && weight(scope, it) > ownWeight } < count
    }

    private fun weight(scope: LeaseScope, member: String): Long =
        Hashing
            .murmur3_128()
            .newHasher()
            .putUnencodedChars(scope.name)
            .putUnencodedChars("/")
            .putUnencodedChars(member)
            .hash()
            .asLong()
}
