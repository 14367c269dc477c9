package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.ListedVm

/** What happens to a replica. Start times are on its own monotonic clock, taken before the request was sent. */
public sealed interface ReplicaEvent {
    /** Time has passed. */
    public data object Tick : ReplicaEvent

    /** A poll of the tables was answered. */
    public data class TablesRead(
        val startedAtMs: Long,
        val page: DirectoryPage,
    ) : ReplicaEvent

    /** A poll of the tables failed. */
    public data class TablesFailed(
        val startedAtMs: Long,
    ) : ReplicaEvent

    /** The entry table was read whole. */
    public data class EntriesRead(
        val startedAtMs: Long,
        val rows: List<EntryRegistration>,
    ) : ReplicaEvent

    /** The list of VMs was read. */
    public data class VmsListed(
        val vms: List<ListedVm>,
    ) : ReplicaEvent

    /** A peer answered an exchange. */
    public data class PeerAnswered(
        val sentAtMs: Long,
        val digest: PeerDigest,
    ) : ReplicaEvent

    /** An exchange with a peer failed. */
    public data class PeerFailed(
        val entryId: String,
    ) : ReplicaEvent

    /** A peer called. How long its digest was under way is not known, so only its version counts. */
    public data class PeerCalled(
        val digest: PeerDigest,
    ) : ReplicaEvent

    /** Changes came from a peer, or from this process's own write. */
    public data class ChangesFetched(
        val changes: List<DirectoryChange>,
    ) : ReplicaEvent

    /** The outcome of a write opened by [WritePermit] is known; [written] is the change if it was written. */
    public data class WriteSettled(
        val written: DirectoryChange?,
    ) : ReplicaEvent
}
