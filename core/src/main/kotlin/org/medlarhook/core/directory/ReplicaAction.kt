package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/** What a replica asks the process around it to do. */
public sealed interface ReplicaAction {
    /** Poll the tables for what is new above [version]; the answer counts from [startedAtMs]. */
    public data class PollTables(
        val version: Long,
        val startedAtMs: Long,
    ) : ReplicaAction

    /** Read the entry table whole. */
    public data object ReadEntries : ReplicaAction

    /** Read the platform's list of VMs. */
    public data object ListVms : ReplicaAction

    /** Exchange digests with [peer]. */
    public data class ExchangeDigest(
        val peer: EntryMember,
    ) : ReplicaAction

    /** Fetch changes above [version] from [peer]. */
    public data class FetchChanges(
        val peer: EntryMember,
        val version: Long,
    ) : ReplicaAction
}
