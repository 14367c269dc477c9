package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/** Schedules the polls of the tables, the calls of peers and the reads of the entry table and the VM list. */
internal class ReplicaScheduler(
    private val settings: ReplicaSettings,
) {
    fun tick(state: ReplicaState, nowMs: Long): ReplicaStep {
        val steps = listOf(::expirePoll, ::poll, ::readEntries, ::listVms, ::exchange)
        return steps.fold(ReplicaStep(state)) { done, step ->
            val next = step(done.state, nowMs)
            ReplicaStep(next.state, done.actions + next.actions)
        }
    }

    /** Schedules the poll after one that was answered. A slow answer shortens the interval, to limit staleness. */
    fun afterRead(state: ReplicaState, startedAtMs: Long, nowMs: Long): ReplicaState {
        val remainingMs = settings.stalenessLimitMs - (nowMs - startedAtMs) - POLL_MARGIN_MS
        val intervalMs = minOf(jittered(state, settings.pollIntervalMs), maxOf(remainingMs, settings.backoffMinMs))
        return state.withSchedule { copy(nextPollMs = startedAtMs + intervalMs, pollStartedMs = null) }
    }

    fun afterFailure(state: ReplicaState, nowMs: Long): ReplicaState {
        val backoffDoublings = minOf(state.reachability.failures, MAX_BACKOFF_DOUBLINGS)
        val pauseMs = minOf(settings.backoffMinMs shl backoffDoublings, settings.backoffMaxMs)
        val delayMs = SplitMix64.between(state.schedule.seed, pauseMs / 2, pauseMs)
        return state.withSchedule { copy(nextPollMs = nowMs + delayMs, pollStartedMs = null) }
    }

    /**
     * Polls early after a peer reports that it no longer reaches the tables. The poll shows whether only that peer is
     * cut off or all entries are, in which case they decide together whether to serve or to refuse.
     */
    fun pollEarly(state: ReplicaState, nowMs: Long): ReplicaState {
        val schedule = state.schedule
        val allowed = schedule.pollStartedMs == null && nowMs - schedule.lastPollStartedMs >= EARLY_POLL_MIN_INTERVAL_MS
        if (!allowed || !state.reachability.lastReadOk) return state
        val earlyPollMs = nowMs + SplitMix64.between(schedule.seed, 0, EARLY_POLL_SPREAD_MS)
        return state.withSchedule { copy(nextPollMs = minOf(nextPollMs, earlyPollMs)) }
    }

    /** Fetches changes from a peer that is ahead. One that does not answer does not delay a fetch from another. */
    fun fetch(state: ReplicaState, peer: EntryMember?, nowMs: Long): ReplicaStep {
        if (peer == null || peer.version <= state.directory.version) return ReplicaStep(state)
        val samePeer = state.schedule.fetchPeerId == peer.entryId
        val pauseMs = if (samePeer) settings.exchangeTimeoutMs else settings.exchangeIntervalMs
        if (nowMs - state.schedule.fetchStartedMs < pauseMs) return ReplicaStep(state)
        val action = ReplicaAction.FetchChanges(peer, state.directory.version)
        return ReplicaStep(
            state.withSchedule { copy(fetchStartedMs = nowMs, fetchPeerId = peer.entryId) },
            listOf(action),
        )
    }

    private fun expirePoll(state: ReplicaState, nowMs: Long): ReplicaStep {
        val startedMs = state.schedule.pollStartedMs ?: return ReplicaStep(state)
        if (nowMs - startedMs < settings.pollTimeoutMs) return ReplicaStep(state)
        val failed = state.copy(reachability = state.reachability.readFailed(nowMs))
        return ReplicaStep(afterFailure(failed, nowMs))
    }

    private fun poll(state: ReplicaState, nowMs: Long): ReplicaStep {
        val schedule = state.schedule
        if (schedule.pollStartedMs != null || nowMs < schedule.nextPollMs) return ReplicaStep(state)
        val scheduled = state.withSchedule { copy(pollStartedMs = nowMs, lastPollStartedMs = nowMs) }
        return ReplicaStep(scheduled, listOf(ReplicaAction.PollTables(state.directory.version, nowMs)))
    }

    private fun readEntries(state: ReplicaState, nowMs: Long): ReplicaStep {
        if (!state.reachability.lastReadOk || nowMs < state.schedule.nextEntriesMs) return ReplicaStep(state)
        val intervalMs = if (state.entries.isRegistered) settings.membersIntervalMs else settings.pollTimeoutMs
        val scheduled = state.withSchedule { copy(nextEntriesMs = nowMs + jittered(state, intervalMs)) }
        return ReplicaStep(scheduled, listOf(ReplicaAction.ReadEntries))
    }

    private fun listVms(state: ReplicaState, nowMs: Long): ReplicaStep {
        if (nowMs < state.schedule.nextVmListMs) return ReplicaStep(state)
        val scheduled = state.withSchedule { copy(nextVmListMs = nowMs + jittered(state, settings.vmListIntervalMs)) }
        return ReplicaStep(scheduled, listOf(ReplicaAction.ListVms))
    }

    private fun exchange(state: ReplicaState, nowMs: Long): ReplicaStep {
        val running = state.schedule.exchangesMs.filterValues { nowMs - it < settings.exchangeTimeoutMs }
        if (nowMs < state.schedule.nextExchangeMs || running.size >= settings.maxExchangesInFlight) {
            return ReplicaStep(state)
        }
        val peers = peerOrder(state).filterNot { it.entryId in running }
        val later = state.withSchedule { copy(nextExchangeMs = nowMs + jittered(state, settings.exchangeIntervalMs)) }
        if (peers.isEmpty()) return ReplicaStep(later)
        val peer = peers[Math.floorMod(state.schedule.cursor, peers.size)]
        val started = later.withSchedule {
            copy(cursor = cursor + 1, exchangesMs = exchangesMs.put(peer.entryId, nowMs))
        }
        return ReplicaStep(started, listOf(ReplicaAction.ExchangeDigest(peer)))
    }

    /** Returns the peers in an order that differs between processes. */
    private fun peerOrder(state: ReplicaState): List<EntryMember> =
        state.entries
            .live(state.vms)
            .sortedBy { SplitMix64.mix((it.entryId + state.selfId).hashCode().toLong()) }

    private fun jittered(state: ReplicaState, intervalMs: Long): Long {
        val spreadMs = intervalMs / JITTER_DIVISOR
        return SplitMix64.between(state.schedule.seed, intervalMs - spreadMs, intervalMs + spreadMs)
    }

    private fun ReplicaState.withSchedule(change: ReplicaSchedule.() -> ReplicaSchedule): ReplicaState {
        val next = schedule.change()
        return copy(schedule = next.copy(seed = SplitMix64.next(schedule.seed)))
    }

    private companion object {
        const val POLL_MARGIN_MS = 500L
        const val EARLY_POLL_MIN_INTERVAL_MS = 1_000L
        const val EARLY_POLL_SPREAD_MS = 200L
        const val JITTER_DIVISOR = 10L
        const val MAX_BACKOFF_DOUBLINGS = 10
    }
}
