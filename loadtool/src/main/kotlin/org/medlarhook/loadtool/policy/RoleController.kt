package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.PrefillShareForecast
import org.medlarhook.core.role.RoleAssignment
import org.medlarhook.core.role.RoleObservation
import org.medlarhook.core.role.RolePlanner
import org.medlarhook.core.role.RoleSettings
import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.WorkTokens

/** Assigns the initial roles of the engines, and starts the role changes of the planner. */
internal class RoleController(
    private val scenario: PolicyScenario,
    private val variant: PolicyVariant,
    private val scheduler: EventScheduler,
    private val engines: List<FakeEngine>,
    private val changeRole: (FakeEngine, UpstreamRole) -> Unit,
) {
    private val planner = RolePlanner(RoleSettings(roleChangeMs = scenario.fleet.roleChangeMs.toLong()))
    private val assignedAtMs = engines.associateWithTo(mutableMapOf()) { Long.MIN_VALUE / 2 }
    private val changing = mutableSetOf<FakeEngine>()
    private var forecast = PrefillShareForecast()
    private var requestedWork = WorkTokens.NONE

    var changes: Int = 0
        private set

    /** Assigns the initial roles by the load of the scenario, and starts the planner if the variant has one. */
    fun start() {
        if (variant.roles == RoleMode.MIXED) return
        val prefillShare = scenarioPrefillShare(0.0)
        val prefillCount = Math.round(prefillShare * engines.size).toInt().coerceIn(1, engines.size - 1)
        engines.forEachIndexed { index, engine ->
            val isPrefill = (index + 1) * prefillCount / engines.size > index * prefillCount / engines.size
            engine.role = if (isPrefill) UpstreamRole.PREFILL else UpstreamRole.DECODE
        }
        if (variant.roles == RoleMode.PLANNED) scheduler.scheduleAfter(PLAN_INTERVAL_MS) { plan() }
    }

    /** Adds the work of [request] to the observed demand, without the part expected to be cached. */
    fun onArrival(request: SimulatedRequest) {
        requestedWork +=
            request.work.copy(prefillTokens = request.kind.promptTokens - expectedCachedTokens(request.kind))
    }

    /** Records that the role change of [engine] is complete. */
    fun onChanged(engine: FakeEngine) {
        changing -= engine
    }

    private fun plan() {
        val nowMs = scheduler.nowMs.toLong()
        val speed = engines.first().speed
        val demand =
            if (variant.usesOracle) scenarioDemand(scheduler.nowMs + scenario.fleet.roleChangeMs) else requestedWork
        val assignments = engines.filter { it.up }.map { assignment(it) }
        val observation =
            RoleObservation(assignments, demand, speed.prefillTokensPerS, speed.decodeTokensPerS, measuredAtMs = nowMs)
        val plan = planner.plan(observation, if (variant.usesOracle) PrefillShareForecast() else forecast, nowMs)
        forecast = plan.forecast
        requestedWork = WorkTokens.NONE
        plan.changes.forEach { change -> startChange(engines.first { it.id == change.upstreamId }, change.to) }
        scheduler.scheduleAfter(PLAN_INTERVAL_MS) { plan() }
    }

    private fun assignment(engine: FakeEngine): RoleAssignment =
        RoleAssignment(engine.id, engine.role, assignedAtMs.getValue(engine), engine in changing)

    private fun startChange(engine: FakeEngine, role: UpstreamRole) {
        changes++
        changing += engine
        assignedAtMs[engine] = scheduler.nowMs.toLong()
        changeRole(engine, role)
    }

    /** Uncached work that arrives per second by the phases of the scenario. */
    private fun scenarioDemand(atMs: Double): WorkTokens {
        val phase = scenario.phaseAt(atMs)
        val verdicts = phase.ratePerS * phase.verdictShare
        val instructions = phase.ratePerS - verdicts
        return uncachedWork(scenario.verdict) * verdicts + uncachedWork(scenario.instruction) * instructions
    }

    /** Share of engine time that prefill takes by the phases of the scenario. */
    private fun scenarioPrefillShare(atMs: Double): Double {
        val demand = scenarioDemand(atMs)
        val prefillS = engines.first().speed.prefillMs(demand.prefillTokens)
        return prefillS / (prefillS + engines.first().speed.batchDecodeMs(demand.decodeTokens))
    }

    private fun uncachedWork(kind: KindSpec): WorkTokens =
        WorkTokens(kind.promptTokens - expectedCachedTokens(kind), kind.outputTokens.toLong())

    private fun expectedCachedTokens(kind: KindSpec): Long = (kind.prefixTokens * EXPECTED_HIT_SHARE).toLong()

    private companion object {
        const val PLAN_INTERVAL_MS = 1_000.0
        const val EXPECTED_HIT_SHARE = 0.7
    }
}
