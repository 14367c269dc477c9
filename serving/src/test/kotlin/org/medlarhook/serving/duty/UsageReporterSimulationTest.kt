package org.medlarhook.serving.duty

import org.medlarhook.serving.duty.simulation.ScheduleGenerator
import org.medlarhook.serving.duty.simulation.Simulations
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.test.fail

/**
 * Whatever happens to processes, store and platform, one holder at a time reports usage, and a window has one count.
 *
 * A longer run: `-Dusage.first=1 -Dusage.seeds=10000`, with as many schedules side by side as `-Dusage.parallel` says.
 */
class UsageReporterSimulationTest {
    private val simulations = Simulations()

    @Test
    fun `Given seeded faults, then one holder at a time reports, and each window has one count`() {
        val first = java.lang.Long.getLong("usage.first", 1)
        val seeds = java.lang.Long.getLong("usage.seeds", SEEDS)
        val workers = Executors.newFixedThreadPool(Integer.getInteger("usage.parallel", 2))
        val results =
            (first..<first + seeds)
                .map { seed -> seed to workers.submit(Callable { simulations.run(ScheduleGenerator(seed).draw()) }) }
                .map { (seed, result) -> seed to result.get() }
        workers.shutdown()
        val due = results.sumOf { it.second.due }
        val sent = results.sumOf { it.second.sent }
        val right = results.sumOf { it.second.right }
        val violated = results.filter { it.second.violations.isNotEmpty() }
        println("usage: $seeds schedules, ${violated.size} violate a rule; $due windows due, $sent sent, $right right")
        violated.groupBy { it.second.violations.first().substringBefore(':') }.forEach { (rule, cases) ->
            println("usage: ${cases.size} times $rule: seeds ${cases.take(SHOWN).map { it.first }}")
        }
        val cases = violated.take(SHOWN).map { (seed, _) ->
            simulations.describe(simulations.smallest(ScheduleGenerator(seed).draw()))
        }
        if (cases.isNotEmpty()) fail(cases.joinToString("\n\n"))
        assertTrue(sent >= due * LEAST_SENT, "$sent of $due windows were sent")
    }

    private companion object {
        const val SEEDS = 300L
        const val SHOWN = 20
        const val LEAST_SENT = 0.7
    }
}
