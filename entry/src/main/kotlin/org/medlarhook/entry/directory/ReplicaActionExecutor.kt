package org.medlarhook.entry.directory

import org.medlarhook.core.directory.DigestBuilder
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.core.directory.ReplicaAction
import org.medlarhook.core.directory.ReplicaEvent
import org.medlarhook.core.membership.EntryMember
import org.medlarhook.ports.VmDirectory

/** Performs the actions of a replica and reports the outcomes to it. Start times are read before a request is sent. */
internal class ReplicaActionExecutor(
    private val reader: DirectoryReader,
    private val registrar: EntryRegistrar,
    private val vms: VmDirectory,
    private val peers: PeerClient,
    private val digests: DigestBuilder,
) {
    /** Performs [action] for [replica]. Blocks until the outcome is known. */
    fun perform(action: ReplicaAction, replica: ReplicaRunner) {
        val startedAtMs = replica.nowMs()
        when (action) {
            is ReplicaAction.PollTables -> pollTables(action, replica)
            ReplicaAction.ReadEntries -> readEntries(replica, startedAtMs)
            ReplicaAction.ListVms -> vms.list().onRight { replica.on(ReplicaEvent.VmsListed(it)) }
            is ReplicaAction.ExchangeDigest -> exchange(action.peer, replica, startedAtMs)
            is ReplicaAction.FetchChanges ->
                peers
                    .fetch(action.peer.registration.peerAddress, action.version)
                    .onRight { replica.on(ReplicaEvent.ChangesFetched(it)) }
        }
    }

    private fun pollTables(action: ReplicaAction.PollTables, replica: ReplicaRunner) {
        reader.poll(action.version).fold(
            { replica.on(ReplicaEvent.TablesFailed(action.startedAtMs)) },
            { replica.on(ReplicaEvent.TablesRead(action.startedAtMs, it)) },
        )
    }

    private fun readEntries(replica: ReplicaRunner, startedAtMs: Long) {
        registrar.rows().onRight { rows ->
            replica.on(ReplicaEvent.EntriesRead(startedAtMs, rows))
            peers.retain(rows.map { it.peerAddress }.toSet())
            repairEntryTable(replica)
        }
    }

    /** Registers again if this entry's row is missing, and deletes rows of entries whose VM the platform removed. */
    private fun repairEntryTable(replica: ReplicaRunner) {
        val state = replica.state
        if (!state.entries.isRegistered) registrar.register()
        val dropped = state.entries.members.values.filter { member ->
            member.deregisteredAtMs == null && member.stoppedAtMs(state.vms) != null
        }
        if (dropped.isNotEmpty()) registrar.remove(dropped.map { it.entryId })
    }

    private fun exchange(peer: EntryMember, replica: ReplicaRunner, startedAtMs: Long) {
        val digest = digests.build(replica.state, startedAtMs)
        peers.exchange(peer.registration.peerAddress, digest).fold(
            { replica.on(ReplicaEvent.PeerFailed(peer.entryId)) },
            { replica.on(ReplicaEvent.PeerAnswered(startedAtMs, it)) },
        )
    }
}
