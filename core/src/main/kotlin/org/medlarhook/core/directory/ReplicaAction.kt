package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/** An action that a replica requests from the process that runs it. */
public sealed interface ReplicaAction {
    /** Poll the tables for changes above [version]. The answer is dated [startedAtMs]. */
    public data class PollTables(
        val version: Long,
        val startedAtMs: Long,
    ) : ReplicaAction

    /** Read the whole entry table. */
    public data object ReadEntries : ReplicaAction

    /** Read the VM list of the platform. */
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
