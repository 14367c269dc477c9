package org.medlarhook.serving.duty.simulation

import java.util.concurrent.Executors

/** Runs schedules, and shows those that violate a rule. */
internal class Simulations {
    private val executor = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }

    fun run(schedule: UsageSchedule, onTrace: ((String) -> Unit)? = null): SimResult =
        UsageReporterSimulation(schedule, executor, onTrace).run()

    /** Leaves out faults as long as a rule is violated without them. */
    fun smallest(schedule: UsageSchedule): UsageSchedule =
        schedule.faults.asSequence()
            .map { schedule.copy(faults = schedule.faults - it) }
            .firstOrNull { run(it).violations.isNotEmpty() }
            ?.let { smallest(it) } ?: schedule

    /** The trace of [schedule], and the rules that it violates. */
    fun describe(schedule: UsageSchedule): String {
        val trace = ArrayList<String>()
        val result = run(schedule) { trace += it }
        return "$schedule\n${trace.joinToString("\n")}\n${result.violations.joinToString("\n")}"
    }
}
