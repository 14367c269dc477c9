package org.medlarhook.core.directory

/** Makes the digest that an entry sends to a peer. */
public class DigestBuilder(
    private val settings: ReplicaSettings,
) {
    /** Returns the digest of [state]; the receiver must take it as no younger than its own request. */
    public fun build(state: ReplicaState, nowMs: Long): PeerDigest =
        PeerDigest(
            sender = state.self,
            version = state.directory.version,
            stalenessMs = state.freshness?.stalenessMs(nowMs),
            reachesTables = state.reachability.reportsReachable,
            peerStatuses = peerStatuses(state, nowMs),
        )

    /** Returns up to [limit] changes above [version] that this entry can pass on; empty if it lacks the next one. */
    public fun changesAfter(state: ReplicaState, version: Long, limit: Int): List<DirectoryChange> {
        val changes = state.recent.filter { it.version > version }.take(limit)
        return if (changes.firstOrNull()?.version == version + 1) changes else emptyList()
    }

    /** Large fleets pass peer statuses on only while the sender lacks the tables, to save bandwidth. */
    private fun peerStatuses(state: ReplicaState, nowMs: Long): List<RelayedPeerStatus> {
        if (state.reachability.reportsReachable && state.entries.members.size > SMALL_FLEET) return emptyList()
        return state.peerStatuses
            .filterKeys { it in state.entries.members }
            .map { (id, sighting) -> RelayedPeerStatus(id, nowMs - sighting.originMs, sighting.reachesTables) }
            .filter { it.ageMs < settings.peerStatusLimitMs }
    }

    private companion object {
        const val SMALL_FLEET = 32
    }
}
