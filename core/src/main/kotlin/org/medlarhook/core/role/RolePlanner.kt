package org.medlarhook.core.role

import kotlin.math.abs

/**
 * Moves upstreams between the prefill and decode roles as the forecast share of prefill work changes.
 *
 * Within the horizon, a move must gain several times the work that is lost while the upstream changes its role. A role
 * that has upstreams keeps at least one, an upstream keeps a role for a minimum time, the number of simultaneous
 * changes is limited, and nothing changes while the newest measurement is too old.
 */
public class RolePlanner(
    private val settings: RoleSettings = RoleSettings(),
) : RolePolicy {
    override fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan {
        if (nowMs - observation.measuredAtMs > settings.maxAgeMs) return RolePlan(emptyList(), forecast)
        val share = measuredPrefillShare(observation) ?: return RolePlan(emptyList(), forecast)
        val updated = forecast.observed(share, observation.measuredAtMs)
        val expected = updated.shareAt(nowMs + settings.roleChangeMs) ?: return RolePlan(emptyList(), updated)
        return RolePlan(changes(observation.upstreams, expected, nowMs), updated)
    }

    private fun measuredPrefillShare(observation: RoleObservation): Double? {
        val prefillS = observation.demandPerS.prefillTokens / observation.prefillTokensPerS
        val decodeS = observation.demandPerS.decodeTokens / observation.decodeTokensPerS
        return if (prefillS + decodeS > 0) prefillS / (prefillS + decodeS) else null
    }

    private fun changes(upstreams: List<RoleAssignment>, prefillShare: Double, nowMs: Long): List<RoleChange> {
        val singlePhase = upstreams.filter { it.role == UpstreamRole.PREFILL || it.role == UpstreamRole.DECODE }
        val prefillCount = singlePhase.count { it.role == UpstreamRole.PREFILL }
        val targetCount = prefillShare * singlePhase.size
        val from = if (targetCount > prefillCount) UpstreamRole.DECODE else UpstreamRole.PREFILL
        val step = if (targetCount > prefillCount) 1 else -1
        val moves = profitableMoves(prefillCount, targetCount, step)
        val notChanging = singlePhase.count { it.role == from && !it.changing }
        val allowed = minOf(moves, settings.maxMoving - upstreams.count { it.changing }, notChanging - 1)
        return movable(singlePhase, from, nowMs)
            .take(allowed.coerceAtLeast(0))
            .map { RoleChange(it.upstreamId, opposite(from)) }
    }

    /**
     * The number of successive moves that each gain more than [RoleSettings.minGain] times what they cost. The mismatch
     * is the number of upstreams in the wrong role; a move gains its decrease over the horizon and costs one upstream
     * for the duration of the change.
     */
    private fun profitableMoves(prefillCount: Int, targetCount: Double, step: Int): Int {
        val minGainUpstreamMs = settings.roleChangeMs * settings.minGain
        var moves = 0
        while (true) {
            val mismatchBefore = abs(targetCount - prefillCount - step * moves)
            val mismatchAfter = abs(targetCount - prefillCount - step * (moves + 1))
            if ((mismatchBefore - mismatchAfter) * settings.horizonMs <= minGainUpstreamMs) return moves
            moves++
        }
    }

    /** The upstreams of the role [from] that may change now, the longest in the role first. */
    private fun movable(singlePhase: List<RoleAssignment>, from: UpstreamRole, nowMs: Long): List<RoleAssignment> =
        singlePhase
            .filter { it.role == from && !it.changing && nowMs - it.sinceMs >= settings.minDwellMs }
            .sortedWith(compareBy({ it.sinceMs }, { it.upstreamId }))

    private fun opposite(role: UpstreamRole): UpstreamRole =
        if (role == UpstreamRole.PREFILL) UpstreamRole.DECODE else UpstreamRole.PREFILL
}
