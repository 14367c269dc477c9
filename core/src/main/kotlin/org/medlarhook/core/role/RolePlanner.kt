package org.medlarhook.core.role

import kotlin.math.abs

/**
 * Moves upstreams between the prefill and decode roles as the forecast mix changes.
 *
 * A move must win back within the horizon several times the work that is lost while the upstream is away. No role
 * that is held loses its last upstream, an upstream keeps a role for a minimum time, few move at once, and nothing
 * changes while the measurement is old.
 */
public class RolePlanner(
    private val settings: RoleSettings = RoleSettings(),
) : RolePolicy {
    override fun plan(observation: RoleObservation, forecast: PrefillShareForecast, nowMs: Long): RolePlan {
        if (nowMs - observation.measuredAtMs > settings.maxAgeMs) return RolePlan(emptyList(), forecast)
        val share = measuredShare(observation) ?: return RolePlan(emptyList(), forecast)
        val updated = forecast.observed(share, observation.measuredAtMs)
        val expected = updated.shareAt(nowMs + settings.roleChangeMs) ?: return RolePlan(emptyList(), updated)
        return RolePlan(changes(observation.upstreams, expected, nowMs), updated)
    }

    private fun measuredShare(observation: RoleObservation): Double? {
        val prefillS = observation.demandPerS.prefillTokens / observation.prefillTokensPerS
        val decodeS = observation.demandPerS.decodeTokens / observation.decodeTokensPerS
        return if (prefillS + decodeS > 0) prefillS / (prefillS + decodeS) else null
    }

    private fun changes(upstreams: List<RoleAssignment>, prefillShare: Double, nowMs: Long): List<RoleChange> {
        val split = upstreams.filter { it.role == UpstreamRole.PREFILL || it.role == UpstreamRole.DECODE }
        val prefillCount = split.count { it.role == UpstreamRole.PREFILL }
        val wanted = prefillShare * split.size
        val from = if (wanted > prefillCount) UpstreamRole.DECODE else UpstreamRole.PREFILL
        val step = if (wanted > prefillCount) 1 else -1
        val moves = worthwhileMoves(prefillCount, wanted, step)
        val staying = split.count { it.role == from && !it.changing }
        val allowed = minOf(moves, settings.maxMoving - upstreams.count { it.changing }, staying - 1)
        return movable(split, from, nowMs)
            .take(allowed.coerceAtLeast(0))
            .map { RoleChange(it.upstreamId, other(from)) }
    }

    /** How many moves in a row each win back what they cost. Mismatch is in engines whose work has no place. */
    private fun worthwhileMoves(prefillCount: Int, wanted: Double, step: Int): Int {
        val costEngineMs = settings.roleChangeMs * settings.minGain
        var moves = 0
        while (true) {
            val before = abs(wanted - prefillCount - step * moves)
            val after = abs(wanted - prefillCount - step * (moves + 1))
            if ((before - after) * settings.horizonMs <= costEngineMs) return moves
            moves++
        }
    }

    private fun movable(split: List<RoleAssignment>, from: UpstreamRole, nowMs: Long): List<RoleAssignment> =
        split
            .filter { it.role == from && !it.changing && nowMs - it.sinceMs >= settings.minDwellMs }
            .sortedWith(compareBy({ it.sinceMs }, { it.upstreamId }))

    private fun other(role: UpstreamRole): UpstreamRole =
        if (role == UpstreamRole.PREFILL) UpstreamRole.DECODE else UpstreamRole.PREFILL
}
