package org.medlarhook.core.directory

/** Builds the digest and the changes that an entry sends to a peer. */
public class DigestBuilder(
    private val settings: ReplicaSettings,
) {
    /** Returns the digest of [state]. The receiver must date it no later than when it sent its own request. */
    public fun build(state: ReplicaState, nowMs: Long): PeerDigest =
        PeerDigest(
            sender = state.self,
            version = state.directory.version,
            stalenessMs = state.freshness?.stalenessMs(nowMs),
            reachesTables = state.reachability.reportsReachable,
            peerStatuses = peerStatuses(state, nowMs),
        )

    /** Returns up to [limit] recent changes above [version], or none if the change after [version] is not kept. */
    public fun changesAfter(state: ReplicaState, version: Long, limit: Int): List<DirectoryChange> {
        val changes = state.recent.filter { it.version > version }.take(limit)
        return if (changes.firstOrNull()?.version == version + 1) changes else emptyList()
    }

    /** In a large fleet an entry relays peer statuses only while it does not reach the tables, to save bandwidth. */
    private fun peerStatuses(state: ReplicaState, nowMs: Long): List<RelayedPeerStatus> {
        if (state.reachability.reportsReachable && state.entries.members.size > SMALL_FLEET_ENTRIES) return emptyList()
        return state.peerStatuses
            .filterKeys { it in state.entries.members }
            .map { (id, status) -> RelayedPeerStatus(id, nowMs - status.originMs, status.reachesTables) }
            .filter { it.ageMs < settings.peerStatusLimitMs }
    }

    private companion object {
        const val SMALL_FLEET_ENTRIES = 32
    }
}
