package org.medlarhook.core.directory

import org.medlarhook.core.directory.ReplicaEvent.ChangesFetched
import org.medlarhook.core.directory.ReplicaEvent.EntriesRead
import org.medlarhook.core.directory.ReplicaEvent.PeerAnswered
import org.medlarhook.core.directory.ReplicaEvent.PeerCalled
import org.medlarhook.core.directory.ReplicaEvent.PeerFailed
import org.medlarhook.core.directory.ReplicaEvent.TablesFailed
import org.medlarhook.core.directory.ReplicaEvent.TablesRead
import org.medlarhook.core.directory.ReplicaEvent.Tick
import org.medlarhook.core.directory.ReplicaEvent.VmsListed
import org.medlarhook.core.directory.ReplicaEvent.WriteSettled

/**
 * The replica of the directory in one entry, as a function from state and event to state and actions.
 *
 * Table freshness and peer statuses are accepted only from answers to this process's own requests, are dated from
 * before the request was sent, and are merged only once this replica has reached the sender's version. So this process
 * never underestimates the staleness of its copy, and never lacks a change that the sender had.
 */
public class DirectoryReplica(
    settings: ReplicaSettings,
) {
    private val scheduler = ReplicaScheduler(settings)

    /** Handles [event] at [nowMs]. */
    public fun on(state: ReplicaState, event: ReplicaEvent, nowMs: Long): ReplicaStep =
        when (event) {
            is Tick -> scheduler.tick(state, nowMs)
            is TablesRead -> onTablesRead(state, event, nowMs)
            is TablesFailed -> ReplicaStep(onTablesFailed(state, event, nowMs))
            is EntriesRead -> ReplicaStep(onEntriesRead(state, event, nowMs))
            is VmsListed -> ReplicaStep(state.copy(vms = state.vms.update(event.vms, nowMs)))
            is PeerAnswered -> onPeerAnswered(state, event, nowMs)
            is PeerFailed -> ReplicaStep(state.withoutExchange(event.entryId))
            is PeerCalled -> onPeerCalled(state, event.digest, nowMs)
            is ChangesFetched -> ReplicaStep(state.applied(event.changes))
            is WriteSettled -> ReplicaStep(onWriteSettled(state, event, nowMs))
        }

    private fun onTablesRead(state: ReplicaState, event: TablesRead, nowMs: Long): ReplicaStep {
        val page = event.page
        val restored = page.snapshot?.let { state.withSnapshot(it) } ?: state
        val next = restored.applied(page.changes).copy(reachability = state.reachability.readOk(nowMs))
        if (next.directory.version < page.headVersion) {
            val started = next.copy(schedule = next.schedule.copy(pollStartedMs = nowMs, lastPollStartedMs = nowMs))
            return ReplicaStep(started, listOf(ReplicaAction.PollTables(next.directory.version, nowMs)))
        }
        return ReplicaStep(scheduler.afterRead(next.withFreshness(event.startedAtMs), event.startedAtMs, nowMs))
    }

    private fun onTablesFailed(state: ReplicaState, event: TablesFailed, nowMs: Long): ReplicaState {
        if (state.schedule.pollStartedMs != event.startedAtMs) return state
        return scheduler.afterFailure(state.copy(reachability = state.reachability.readFailed(nowMs)), nowMs)
    }

    private fun onEntriesRead(state: ReplicaState, event: EntriesRead, nowMs: Long): ReplicaState {
        val entries = state.entries.withRows(event.rows, event.startedAtMs, nowMs)
        val readMs = state.freshness?.originMs ?: return state.copy(entries = entries)
        return state.copy(entries = entries.pruned(state.vms, readMs))
    }

    private fun onPeerAnswered(state: ReplicaState, event: PeerAnswered, nowMs: Long): ReplicaStep {
        val digest = event.digest
        val known = state.withoutExchange(digest.entryId).copy(
            entries = state.entries.withAnswer(digest.sender, digest.version, nowMs),
            pending = state.pending.put(digest.entryId, AnsweredDigest(event.sentAtMs, digest)),
        )
        val scheduled = if (state.reportsLossOfTables(digest)) scheduler.pollEarly(known, nowMs) else known
        return scheduler.fetch(scheduled.withPendingMerged(), known.entries.members[digest.entryId], nowMs)
    }

    private fun onPeerCalled(state: ReplicaState, digest: PeerDigest, nowMs: Long): ReplicaStep {
        val known = state.copy(entries = state.entries.withCaller(digest.sender, digest.version, nowMs))
        val scheduled = if (state.reportsLossOfTables(digest)) scheduler.pollEarly(known, nowMs) else known
        return scheduler.fetch(scheduled, known.entries.members[digest.entryId], nowMs)
    }

    private fun onWriteSettled(state: ReplicaState, event: WriteSettled, nowMs: Long): ReplicaState =
        state
            .applied(listOfNotNull(event.written))
            .copy(
                reachability = state.reachability.writeSettled(nowMs),
                schedule = state.schedule.copy(nextEntriesMs = nowMs),
            )

    /** True if [digest] reports that its sender, which reached the tables so far, no longer does. */
    private fun ReplicaState.reportsLossOfTables(digest: PeerDigest): Boolean =
        !digest.reachesTables && (peerStatuses[digest.entryId]?.reachesTables ?: true)

    private fun ReplicaState.withoutExchange(entryId: String) =
        copy(schedule = schedule.copy(exchangesMs = schedule.exchangesMs.remove(entryId)))

    private fun ReplicaState.withFreshness(originMs: Long): ReplicaState =
        if (originMs > (freshness?.originMs ?: Long.MIN_VALUE)) copy(freshness = TableFreshness(originMs)) else this

    private fun ReplicaState.withSnapshot(snapshot: DirectoryState): ReplicaState =
        if (snapshot.version > directory.version) copy(directory = snapshot, recent = emptyList()) else this

    private fun ReplicaState.applied(changes: List<DirectoryChange>): ReplicaState {
        val next = directory.applyAll(changes)
        if (next.version == directory.version) return this
        val added = changes.filter { it.version > directory.version && it.version <= next.version }
        return copy(directory = next, recent = (recent + added).takeLast(MAX_RECENT_CHANGES)).withPendingMerged()
    }

    /** Merges the pending digests whose version this replica has reached. */
    private fun ReplicaState.withPendingMerged(): ReplicaState {
        val reached = pending.values.filter { it.digest.version <= directory.version }
        return reached.fold(this) { state, answered -> state.merged(answered) }
    }

    private fun ReplicaState.merged(answered: AnsweredDigest): ReplicaState {
        val digest = answered.digest
        val relayedStatuses = digest.peerStatuses.associate {
            it.entryId to PeerStatus(answered.sentAtMs - it.ageMs, it.reachesTables)
        }
        val ownStatus = digest.entryId to PeerStatus(answered.sentAtMs, digest.reachesTables)
        val next = (relayedStatuses + ownStatus - selfId).entries.fold(this) { state, (id, status) ->
            state.withPeerStatus(id, status)
        }
        val refreshed = digest.stalenessMs?.let { next.withFreshness(answered.sentAtMs - it) } ?: next
        return refreshed.copy(pending = pending.remove(digest.entryId))
    }

    private fun ReplicaState.withPeerStatus(entryId: String, status: PeerStatus): ReplicaState {
        val known = peerStatuses[entryId]
        if (known != null && known.originMs > status.originMs) return this
        return copy(peerStatuses = peerStatuses.put(entryId, status))
    }

    private companion object {
        const val MAX_RECENT_CHANGES = 1_000
    }
}
