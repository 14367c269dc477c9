package org.medlarhook.core.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.core.membership.EntryView
import org.medlarhook.core.membership.VmListView

/**
 * All that one entry knows of the directory and of the other entries.
 *
 * @property recent the newest changes, to pass on to peers.
 * @property news the newest read of the tables that this state covers, own or passed on, or null.
 * @property pending digests of peers that are ahead; they count once their version is reached.
 * @property peerStatuses what other entries said of themselves, as of a version that this state covers.
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
    /** This entry's own identifier. */
    val selfId: String get() = self.entryId

    public companion object {
        /** The state of the registered entry [self] at its start. [seed] spreads its polls among others. */
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
                reachability = TableReachability.ofNewProcess(),
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
