package org.medlarhook.core.role

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import org.medlarhook.core.routing.WorkTokens
import kotlin.random.Random
import kotlin.test.assertTrue

private const val STEP_MS = 1_000L
private const val STEPS = 300

class RolePlannerFuzz {
    private val settings = RoleSettings()

    @Property(seed = "51", tries = 100)
    fun `Given any demand, then dwell, last of role, concurrent changes and stale data are respected`(
        @ForAll @IntRange(min = 2, max = 12) upstreamCount: Int,
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val planner = RolePlanner(settings)
        var assignments =
            (1..upstreamCount).map { assignment("u$it", if (it == 1) UpstreamRole.PREFILL else UpstreamRole.DECODE, 0) }
        var forecast = PrefillShareForecast()
        var share = 0.5
        for (nowMs in STEP_MS..STEP_MS * STEPS step STEP_MS) {
            if (random.nextInt(40) == 0) share = random.nextDouble()
            assignments =
                assignments.map { if (it.changing && random.nextInt(4) == 0) it.copy(changing = false) else it }
            val ageMs = if (random.nextInt(5) == 0) settings.maxAgeMs + 1 else 0
            val demand = WorkTokens((share * 10_000).toLong(), ((1 - share) * 1_000).toLong())
            val plan =
                planner.plan(RoleObservation(assignments, demand, 10_000.0, 1_000.0, nowMs - ageMs), forecast, nowMs)
            assertTrue(
                ageMs == 0L || plan.changes.isEmpty(),
                "changed roles on a measurement $ageMs ms old, limit ${settings.maxAgeMs} ms",
            )
            val vacatedRoles =
                plan.changes.map { change -> assignments.first { it.upstreamId == change.upstreamId }.role }
            assignments = applied(plan, assignments, nowMs)
            assertTrue(
                vacatedRoles.all { role -> assignments.any { it.role == role && !it.changing } },
                "a role lost its last upstream that is not changing",
            )
            forecast = plan.forecast
            assertTrue(assignments.count { it.changing } <= settings.maxMoving)
        }
    }

    private fun applied(plan: RolePlan, assignments: List<RoleAssignment>, nowMs: Long): List<RoleAssignment> {
        val orders = plan.changes.associate { it.upstreamId to it.to }
        return assignments.map { before ->
            val to = orders[before.upstreamId] ?: return@map before
            assertTrue(to != before.role && !before.changing)
            assertTrue(
                nowMs - before.sinceMs >= settings.minDwellMs,
                "changed role after ${nowMs - before.sinceMs} ms, minimum ${settings.minDwellMs} ms",
            )
            RoleAssignment(before.upstreamId, to, nowMs, changing = true)
        }
    }

    private fun assignment(upstreamId: String, role: UpstreamRole, sinceMs: Long) =
        RoleAssignment(upstreamId, role, sinceMs)
}
