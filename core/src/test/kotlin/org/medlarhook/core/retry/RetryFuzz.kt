package org.medlarhook.core.retry

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import net.jqwik.api.constraints.LongRange
import kotlin.random.Random
import kotlin.test.assertTrue

class RetryFuzz {
    @Property(seed = "41", tries = 200)
    fun `Given any mix of requests and failures, then retries stay within the budget`(
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        var budget = RetryBudget()
        var requests = 0
        var retries = 0
        repeat(500) {
            if (random.nextInt(3) == 0) {
                requests++
                budget = budget.onRequest()
            } else {
                budget = budget.withdraw()?.also { retries++ } ?: budget
            }
            assertTrue(retries <= requests * budget.ratio + budget.maxBalance + 1e-9)
        }
    }

    @Property(seed = "42", tries = 200)
    fun `Given any outcomes, then at most the configured share of the upstreams is ejected at the same time`(
        @ForAll @IntRange(min = 1, max = 12) fleet: Int,
        @ForAll @LongRange(min = 1) seed: Long,
    ) {
        val random = Random(seed)
        val settings = EjectionSettings()
        var ejection = OutlierEjection(settings)
        var nowMs = 0L
        repeat(300) {
            nowMs += random.nextLong(200)
            val upstream = "u${random.nextInt(fleet)}"
            val failed = random.nextInt(4) > 0
            ejection = if (failed) ejection.failed(upstream, fleet, nowMs) else ejection.succeeded(upstream, nowMs)
            assertTrue(ejection.ejectedCount(nowMs) <= fleet * settings.maxEjectedShare)
        }
    }
}
