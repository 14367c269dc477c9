package org.medlarhook.core.directory

import org.medlarhook.core.membership.EntryMember

/**
 * Serves keyed routes on young news, or while every entry that may be running says that it lacks the tables.
 *
 * Only entries write the directory, and [WritePermit] makes each of them known to all others first. An entry that
 * said at most [ReplicaSettings.peerStatusLimitMs] ago that it lacks the tables has written nothing since that is older
 * than the bound. An entry that has stopped counts until news from after its stop has come, since it may have written
 * just before.
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
        val joinedMs = entries.firstReadAtMs ?: return refusal(emptyList())
        if (!entries.isRegistered || freshness.originMs < joinedMs) return refusal(listOf(state.selfId))
        val members = entries.members.values.filterNot { stoppedBefore(it, state, freshness.originMs) }
        val opposed = members.filterNot { lacksTables(state.peerStatuses[it.entryId], nowMs) }.map { it.entryId }
        val waitingFor = opposed + listOfNotNull(state.selfId.takeIf { state.reachability.reportsReachable })
        if (waitingFor.isNotEmpty()) return refusal(waitingFor)
        val oldestMs = members.minOfOrNull { state.peerStatuses.getValue(it.entryId).originMs } ?: nowMs
        return AuthorityDecision.Serve(AuthorityBasis.COMMON_OUTAGE, oldestMs + settings.peerStatusLimitMs)
    }

    private fun stoppedBefore(member: EntryMember, state: ReplicaState, originMs: Long): Boolean {
        val stoppedAtMs = member.stoppedAtMs(state.vms) ?: return false
        return stoppedAtMs <= originMs
    }

    private fun lacksTables(sighting: PeerStatus?, nowMs: Long): Boolean =
        sighting != null && !sighting.reachesTables && nowMs - sighting.originMs < settings.peerStatusLimitMs

    private fun refusal(waitingFor: List<String>) = AuthorityDecision.Refuse(RETRY_AFTER_MS, waitingFor)

    private companion object {
        const val RETRY_AFTER_MS = 2_000L
    }
}
