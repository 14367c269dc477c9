package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryRegistration
import org.medlarhook.ports.ListedVm

/** An input of a replica. Start times are read from its monotonic clock before the request is sent. */
public sealed interface ReplicaEvent {
    /** Time has passed; due actions are started. */
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

    /** The whole entry table was read. */
    public data class EntriesRead(
        val startedAtMs: Long,
        val rows: List<EntryRegistration>,
    ) : ReplicaEvent

    /** The list of VMs was read. */
    public data class VmsListed(
        val vms: List<ListedVm>,
    ) : ReplicaEvent

    /** A peer answered the exchange of digests that was sent at [sentAtMs]. */
    public data class PeerAnswered(
        val sentAtMs: Long,
        val digest: PeerDigest,
    ) : ReplicaEvent

    /** An exchange of digests with a peer failed. */
    public data class PeerFailed(
        val entryId: String,
    ) : ReplicaEvent

    /** A peer sent its digest. The transit time is unknown, so only the version in it is used. */
    public data class PeerCalled(
        val digest: PeerDigest,
    ) : ReplicaEvent

    /** Changes were fetched from a peer, or written by this process. */
    public data class ChangesFetched(
        val changes: List<DirectoryChange>,
    ) : ReplicaEvent

    /** The outcome of a write opened by [WritePermit] is known; [written] is null if nothing was written. */
    public data class WriteSettled(
        val written: DirectoryChange?,
    ) : ReplicaEvent
}
