package org.medlarhook.core.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.core.membership.EntryView
import org.medlarhook.core.membership.VmListView

/**
 * The state of one entry's replica: its copy of the directory and its view of the other entries.
 *
 * @property recent the newest changes, kept to be sent to peers.
 * @property freshness the newest read of the tables, by this entry or a peer, that this state covers, or null.
 * @property pending digests of peers that are ahead; each is merged once this state reaches its version.
 * @property peerStatuses the statuses that other entries reported, as of a version that this state covers.
 */
public data class ReplicaState(
    val self: EntryRegistration,
    val directory: DirectoryState,
    val recent: List<DirectoryChange>,
    val freshness: TableFreshness?,
    val pending: PersistentMap<String, AnsweredDigest>,
    val peerStatuses: PersistentMap<String, PeerStatus>,
    val entries: EntryView,
    val vms: VmListView,
    val reachability: TableReachability,
    val schedule: ReplicaSchedule,
) {
    /** Identifier of this entry. */
    val selfId: String get() = self.entryId

    public companion object {
        /** Returns the state of the registered entry [self] at its start. [seed] determines the schedule jitter. */
        public fun initial(self: EntryRegistration, nowMs: Long, seed: Long): ReplicaState =
            ReplicaState(
                self = self,
                directory = DirectoryState(),
                recent = emptyList(),
                freshness = null,
                pending = persistentMapOf(),
                peerStatuses = persistentMapOf(),
                entries = EntryView(self.entryId),
                vms = VmListView(),
                reachability = TableReachability.initial(),
                schedule = ReplicaSchedule(
                    nextPollMs = nowMs,
                    nextEntriesMs = nowMs,
                    nextVmListMs = nowMs,
                    nextExchangeMs = nowMs,
                    seed = seed,
                ),
            )
    }
}
