package org.medlarhook.serving.allowance

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import org.medlarhook.core.serving.allowance.AllowanceLimits
import org.medlarhook.core.serving.allowance.HeardProcesses
import org.medlarhook.core.serving.allowance.SharedAllowance
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.process.LogThrottle

private val logger = KotlinLogging.logger {}

/** Logs and counts the decisions on requests of limited workspaces, and why they were made. */
internal class AllowanceLog(
    private val registry: MeterRegistry,
    private val isQuiet: Boolean,
) {
    private val refusals = HashMap<String, Refusals>()

    private class Refusals {
        val lines = LogThrottle(maxLines = 1)
        var unlogged = 0
    }

    /** Logs that the allowances of workspaces are [limits] from now on. */
    fun inForce(limits: Map<String, AllowanceLimits>) {
        if (isQuiet) return
        val texts = limits.map { (name, limit) -> "$name:${limit.perS.toLong()}/s+${limit.capacity.toLong()}" }
        logger.event(LogEvent.ALLOWANCES_IN_FORCE, "allowances" to texts.joinToString(" "))
    }

    /** Counts a request that is within its allowance. */
    fun within() = count("within")

    /** Counts a refused request of [cost] units, and logs one of each workspace in some seconds. */
    fun over(workspace: String, cost: Double, state: SharedAllowance, processes: HeardProcesses, nowMs: Long) {
        count("over")
        if (isQuiet) return
        val refused = refusals.getOrPut(workspace) { Refusals() }
        refused.unlogged++
        if (!refused.lines.permits(nowMs)) return
        val share = processes.share(nowMs)
        logger.warnEvent(
            LogEvent.ALLOWANCE_EXCEEDED,
            "workspace" to workspace,
            "refused" to refused.unlogged,
            "cost" to cost.toLong(),
            "level" to state.level.toLong(),
            "perS" to state.limits.perS.toLong(),
            "capacity" to state.limits.capacity.toLong(),
            "askedPerS" to state.askedPerS(nowMs).toLong(),
            "othersPerS" to state.othersPerS(nowMs).toLong(),
            "usedHere" to state.usedUnits.toLong(),
            "processes" to share.processes,
            "unheard" to share.unheard,
            "oldestReportMs" to processes.oldestAgeMs(nowMs),
        )
        refused.unlogged = 0
    }

    /** Logs that [unheard] of [processes] processes are silent now; 0 if all of them are heard. */
    fun unheard(unheard: Int, processes: Int) {
        if (isQuiet) return
        val fields = mapOf("unheard" to unheard, "processes" to processes)
        if (unheard > 0) {
            logger.warnEvent(LogEvent.ALLOWANCE_SHARES_SET_ASIDE, fields)
        } else {
            logger.event(LogEvent.ALLOWANCE_SHARES_POOLED, fields)
        }
    }

    private fun count(outcome: String) =
        Counter
            .builder("medlarhook.allowance.requests")
            .description("Requests of workspaces that have an allowance, by whether they were within it")
            .tag("outcome", outcome)
            .register(registry)
            .increment()
}
