package org.medlarhook.core.role

import org.junit.jupiter.api.Nested
import org.medlarhook.core.routing.WorkTokens
import kotlin.test.Test
import kotlin.test.assertEquals

class RolePlannerTest {
    private val planner = RolePlanner(RoleSettings(minDwellMs = 10_000))

    /** Counts the role changes in 200 s, with the prefill share [shareAt] each second. */
    private fun changeCount(prefill: Int, decode: Int, shareAt: (Int) -> Double): Int {
        var assignments = List(prefill) { RoleAssignment("p$it", UpstreamRole.PREFILL, 0) } +
            List(decode) { RoleAssignment("d$it", UpstreamRole.DECODE, 0) }
        var forecast = PrefillShareForecast()
        var count = 0
        for (second in 1..200) {
            val nowMs = second * 1_000L
            val demand = WorkTokens((shareAt(second) * 1_000).toLong(), ((1 - shareAt(second)) * 1_000).toLong())
            val plan = planner.plan(RoleObservation(assignments, demand, 1_000.0, 1_000.0, nowMs), forecast, nowMs)
            forecast = plan.forecast
            count += plan.changes.size
            val orders = plan.changes.associate { it.upstreamId to it.to }
            assignments =
                assignments.map { orders[it.upstreamId]?.let { to -> RoleAssignment(it.upstreamId, to, nowMs) } ?: it }
        }
        return count
    }

    @Nested
    inner class Plan {
        @Test
        fun `Given a lasting shift of the prefill share, then roles follow it and stay`() {
            assertEquals(4, changeCount(prefill = 6, decode = 2) { if (it < 60) 0.75 else 0.25 })
        }

        @Test
        fun `Given a prefill share that alternates around the current split, then no role changes`() {
            assertEquals(0, changeCount(prefill = 4, decode = 4) { if (it % 4 < 2) 0.45 else 0.55 })
        }
    }
}
