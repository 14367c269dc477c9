package org.medlarhook.serving.duty

import org.medlarhook.serving.duty.simulation.ScheduleGenerator
import org.medlarhook.serving.duty.simulation.SimResult
import org.medlarhook.serving.duty.simulation.UsageReporterSimulation
import org.medlarhook.serving.duty.simulation.UsageSchedule
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
    private val processes = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }

    @Test
    fun `Given seeded faults, then one holder at a time reports, and each window has one count`() {
        val first = java.lang.Long.getLong("usage.first", 1)
        val seeds = java.lang.Long.getLong("usage.seeds", SEEDS)
        val workers = Executors.newFixedThreadPool(Integer.getInteger("usage.parallel", 2))
        val results =
            (first..<first + seeds)
                .map { seed -> seed to workers.submit(Callable { run(ScheduleGenerator(seed).draw()) }) }
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
        val cases = violated.take(SHOWN).map { (seed, _) -> describe(smallest(ScheduleGenerator(seed).draw())) }
        if (cases.isNotEmpty()) fail(cases.joinToString("\n\n"))
        assertTrue(sent >= due * LEAST_SENT, "$sent of $due windows were sent")
    }

    private fun run(schedule: UsageSchedule, onTrace: ((String) -> Unit)? = null): SimResult =
        UsageReporterSimulation(schedule, processes, onTrace).run()

    /** Leaves out faults as long as a rule is violated without them. */
    private fun smallest(schedule: UsageSchedule): UsageSchedule =
        schedule.faults.asSequence()
            .map { schedule.copy(faults = schedule.faults - it) }
            .firstOrNull { run(it).violations.isNotEmpty() }
            ?.let { smallest(it) } ?: schedule

    private fun describe(schedule: UsageSchedule): String {
        val trace = ArrayList<String>()
        val result = run(schedule) { trace += it }
        return "$schedule\n${trace.joinToString("\n")}\n${result.violations.joinToString("\n")}"
    }

    private companion object {
        const val SEEDS = 300L
        const val SHOWN = 20
        const val LEAST_SENT = 0.7
    }
}
