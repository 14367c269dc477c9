package org.medlarhook.core.spending

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val STEP_MS = 1_000L

class SpendingPlannerFuzz {
    private val settings = SpendingSettings(maxUpstreams = 8, arrivalDelayMs = 10_000, stopAfterMs = 15_000)
    private val start = SpendingObservation(2.0, 0, listOf("u1", "u2"), emptyList(), emptyList(), 0, 0)

    @Property(seed = "61", tries = 100)
    fun `Given any demand, then upstream counts stay within their limits and only drained upstreams stop`(
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val planner = SpendingPlanner(settings)
        var state = start
        var forecast = DemandForecast()
        for (nowMs in STEP_MS..STEP_MS * 300 step STEP_MS) {
            if (random.nextInt(30) == 0) state = state.copy(demandUpstreams = random.nextDouble(0.0, 12.0))
            val drained = state.draining.filter { random.nextInt(3) == 0 }
            val observed = state.copy(drained = drained, measuredAtMs = nowMs)
            val plan = planner.plan(observed, forecast, nowMs)
            forecast = plan.forecast
            assertTrue(plan.stop.all { it in drained && it !in plan.undrain })
            assertTrue(plan.drain.size <= 1)
            state = after(observed, plan, nowMs, random)
            assertTrue(state.serving.size + state.arriving + state.draining.size <= settings.maxUpstreams)
            assertTrue(state.serving.size >= settings.minUpstreams)
        }
    }

    @Property(seed = "62", tries = 20)
    fun `Given a measurement past the age limit, then nothing is ordered`(
        @ForAll @LongRange(min = 1, max = 1_000_000) ageMs: Long,
    ) {
        val nowMs = settings.maxAgeMs + ageMs
        val plan = SpendingPlanner(settings).plan(start.copy(demandUpstreams = 9.0), DemandForecast(), nowMs)
        assertEquals(StaticSpending.plan(start, DemandForecast(), nowMs), plan)
    }

    private fun after(
        before: SpendingObservation,
        plan: SpendingPlan,
        nowMs: Long,
        random: Random,
    ): SpendingObservation {
        val arrived = if (before.arriving > 0 && random.nextInt(10) == 0) 1 else 0
        val changed = plan.start > 0 || plan.drain.isNotEmpty() || plan.undrain.isNotEmpty()
        return before.copy(
            serving = before.serving - plan.drain.toSet() + plan.undrain + List(arrived) { "n$nowMs" },
            draining = before.draining + plan.drain - plan.undrain.toSet() - plan.stop.toSet(),
            arriving = before.arriving + plan.start - arrived,
            lastChangeAtMs = if (changed) nowMs else before.lastChangeAtMs,
        )
    }
}
