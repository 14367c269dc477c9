package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/**
 * Permits keyed routes while the newest known read of the tables is fresh, or while every entry that may be running
 * reports that it does not reach the tables.
 *
 * Only entries write the directory, and [WritePermit] requires that all other entries have discovered the writer. If
 * an entry reported at most [ReplicaSettings.peerStatusLimitMs] ago that it does not reach the tables, any change that
 * it has written since is younger than [ReplicaSettings.WITHDRAWAL_BOUND_MS]. An entry that has stopped is considered
 * until a read of the tables after its stop is known, since it may have written just before it stopped.
 */
public class FreshnessAuthorityPolicy(
    private val settings: ReplicaSettings,
) : AuthorityPolicy {
    override fun decide(state: ReplicaState, nowMs: Long): AuthorityDecision {
        val freshness = state.freshness ?: return refusal(emptyList())
        val freshUntilMs = freshness.originMs + settings.stalenessLimitMs
        if (nowMs < freshUntilMs) return AuthorityDecision.Serve(AuthorityBasis.RECENT_NEWS, freshUntilMs)
        return decideOutage(state, freshness, nowMs)
    }

    private fun decideOutage(state: ReplicaState, freshness: TableFreshness, nowMs: Long): AuthorityDecision {
        val entries = state.entries
        val firstReadMs = entries.firstReadAtMs ?: return refusal(emptyList())
        if (!entries.isRegistered || freshness.originMs < firstReadMs) return refusal(listOf(state.selfId))
        val members = entries.members.values.filterNot { stoppedBefore(it, state, freshness.originMs) }
        val notCutOff = members.filterNot { lacksTables(state.peerStatuses[it.entryId], nowMs) }.map { it.entryId }
        val waitingFor = notCutOff + listOfNotNull(state.selfId.takeIf { state.reachability.reportsReachable })
        if (waitingFor.isNotEmpty()) return refusal(waitingFor)
        val oldestMs = members.minOfOrNull { state.peerStatuses.getValue(it.entryId).originMs } ?: nowMs
        return AuthorityDecision.Serve(AuthorityBasis.COMMON_OUTAGE, oldestMs + settings.peerStatusLimitMs)
    }

    private fun stoppedBefore(member: EntryMember, state: ReplicaState, originMs: Long): Boolean {
        val stoppedAtMs = member.stoppedAtMs(state.vms) ?: return false
        return stoppedAtMs <= originMs
    }

    private fun lacksTables(status: PeerStatus?, nowMs: Long): Boolean =
        status != null && !status.reachesTables && nowMs - status.originMs < settings.peerStatusLimitMs

    private fun refusal(waitingFor: List<String>) = AuthorityDecision.Refuse(RETRY_AFTER_MS, waitingFor)

    private companion object {
        const val RETRY_AFTER_MS = 2_000L
    }
}
