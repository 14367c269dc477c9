package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/** Decides when a replica polls the tables, calls peers and reads the lists of members. */
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

    /** Plans the poll after one that was answered. A slow service is polled earlier, so that news stays young. */
    fun afterRead(state: ReplicaState, startedAtMs: Long, nowMs: Long): ReplicaState {
        val slackMs = settings.stalenessLimitMs - (nowMs - startedAtMs) - POLL_MARGIN_MS
        val intervalMs = minOf(jittered(state, settings.pollIntervalMs), maxOf(slackMs, settings.backoffMinMs))
        return state.planned { copy(nextPollMs = startedAtMs + intervalMs, pollStartedMs = null) }
    }

    fun afterFailure(state: ReplicaState, nowMs: Long): ReplicaState {
        val doublings = minOf(state.reachability.failures, MAX_DOUBLINGS)
        val pauseMs = minOf(settings.backoffMinMs shl doublings, settings.backoffMaxMs)
        val delayMs = Jitter.between(state.schedule.seed, pauseMs / 2, pauseMs)
        return state.planned { copy(nextPollMs = nowMs + delayMs, pollStartedMs = null) }
    }

    /** Polls early after a peer lost the tables: either it is cut off alone, or all will refuse or serve together. */
    fun pollEarly(state: ReplicaState, nowMs: Long): ReplicaState {
        val schedule = state.schedule
        val allowed = schedule.pollStartedMs == null && nowMs - schedule.lastPollStartedMs >= EARLY_POLL_GAP_MS
        if (!allowed || !state.reachability.lastReadOk) return state
        val earlyMs = nowMs + Jitter.between(schedule.seed, 0, EARLY_POLL_SPREAD_MS)
        return state.planned { copy(nextPollMs = minOf(nextPollMs, earlyMs)) }
    }

    /** Fetches from a peer that is ahead. A peer that doesn't answer doesn't keep the next one waiting. */
    fun fetch(state: ReplicaState, peer: EntryMember?, nowMs: Long): ReplicaStep {
        if (peer == null || peer.version <= state.directory.version) return ReplicaStep(state)
        val samePeer = state.schedule.fetchPeerId == peer.entryId
        val pauseMs = if (samePeer) settings.exchangeTimeoutMs else settings.exchangeIntervalMs
        if (nowMs - state.schedule.fetchStartedMs < pauseMs) return ReplicaStep(state)
        val action = ReplicaAction.FetchChanges(peer, state.directory.version)
        return ReplicaStep(state.planned { copy(fetchStartedMs = nowMs, fetchPeerId = peer.entryId) }, listOf(action))
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
        val planned = state.planned { copy(pollStartedMs = nowMs, lastPollStartedMs = nowMs) }
        return ReplicaStep(planned, listOf(ReplicaAction.PollTables(state.directory.version, nowMs)))
    }

    private fun readEntries(state: ReplicaState, nowMs: Long): ReplicaStep {
        if (!state.reachability.lastReadOk || nowMs < state.schedule.nextEntriesMs) return ReplicaStep(state)
        val intervalMs = if (state.entries.isRegistered) settings.membersIntervalMs else settings.pollTimeoutMs
        val planned = state.planned { copy(nextEntriesMs = nowMs + jittered(state, intervalMs)) }
        return ReplicaStep(planned, listOf(ReplicaAction.ReadEntries))
    }

    private fun listVms(state: ReplicaState, nowMs: Long): ReplicaStep {
        if (nowMs < state.schedule.nextVmListMs) return ReplicaStep(state)
        val planned = state.planned { copy(nextVmListMs = nowMs + jittered(state, settings.vmListIntervalMs)) }
        return ReplicaStep(planned, listOf(ReplicaAction.ListVms))
    }

    private fun exchange(state: ReplicaState, nowMs: Long): ReplicaStep {
        val running = state.schedule.exchangesMs.filterValues { nowMs - it < settings.exchangeTimeoutMs }
        if (nowMs < state.schedule.nextExchangeMs || running.size >= settings.maxExchangesInFlight) {
            return ReplicaStep(state)
        }
        val peers = peersInTurn(state).filterNot { it.entryId in running }
        val waiting = state.planned { copy(nextExchangeMs = nowMs + jittered(state, settings.exchangeIntervalMs)) }
        if (peers.isEmpty()) return ReplicaStep(waiting)
        val peer = peers[Math.floorMod(state.schedule.cursor, peers.size)]
        val started = waiting.planned {
            copy(cursor = cursor + 1, exchangesMs = exchangesMs.put(peer.entryId, nowMs))
        }
        return ReplicaStep(started, listOf(ReplicaAction.ExchangeDigest(peer)))
    }

    /** The peers in an order that differs from process to process. */
    private fun peersInTurn(state: ReplicaState): List<EntryMember> =
        state.entries
            .live(state.vms)
            .sortedBy { Jitter.mix((it.entryId + state.selfId).hashCode().toLong()) }

    private fun jittered(state: ReplicaState, intervalMs: Long): Long {
        val spreadMs = intervalMs / JITTER_DIVISOR
        return Jitter.between(state.schedule.seed, intervalMs - spreadMs, intervalMs + spreadMs)
    }

    private fun ReplicaState.planned(change: ReplicaSchedule.() -> ReplicaSchedule): ReplicaState {
        val next = schedule.change()
        return copy(schedule = next.copy(seed = Jitter.next(schedule.seed)))
    }

    private companion object {
        const val POLL_MARGIN_MS = 500L
        const val EARLY_POLL_GAP_MS = 1_000L
        const val EARLY_POLL_SPREAD_MS = 200L
        const val JITTER_DIVISOR = 10L
        const val MAX_DOUBLINGS = 10
    }
}
