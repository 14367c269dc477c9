package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.PrefillShareForecast
import org.medlarhook.core.role.RoleAssignment
import org.medlarhook.core.role.RoleObservation
import org.medlarhook.core.role.RolePlanner
import org.medlarhook.core.role.RoleSettings
import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.WorkTokens

/** Gives the engines their first roles, and lets the planner change them. */
internal class RoleDriver(
    private val scenario: PolicyScenario,
    private val bundle: Bundle,
    private val timeline: Timeline,
    private val engines: List<FakeEngine>,
    private val changeRole: (FakeEngine, UpstreamRole) -> Unit,
) {
    private val planner = RolePlanner(RoleSettings(roleChangeMs = scenario.fleet.roleChangeMs.toLong()))
    private val sinceMs = engines.associateWithTo(mutableMapOf()) { Long.MIN_VALUE / 2 }
    private val changing = mutableSetOf<FakeEngine>()
    private var forecast = PrefillShareForecast()
    private var asked = WorkTokens.NONE

    var changes: Int = 0
        private set

    fun start() {
        if (bundle.roles == RoleMode.MIXED) return
        val share = trueShare(0.0)
        val prefillCount = Math.round(share * engines.size).toInt().coerceIn(1, engines.size - 1)
        engines.forEachIndexed { index, engine ->
            val isPrefill = (index + 1) * prefillCount / engines.size > index * prefillCount / engines.size
            engine.role = if (isPrefill) UpstreamRole.PREFILL else UpstreamRole.DECODE
        }
        if (bundle.roles == RoleMode.PLANNED) timeline.after(PLAN_MS) { plan() }
    }

    /** Counts the work that a request asks for, as far as it is not cached. */
    fun onArrival(job: Job) {
        asked += job.work.copy(prefillTokens = job.kind.promptTokens - expectedHit(job.kind))
    }

    fun onChanged(engine: FakeEngine) {
        changing -= engine
    }

    private fun plan() {
        val nowMs = timeline.nowMs.toLong()
        val speed = engines.first().speed
        val demand = if (bundle.knowing) trueDemand(timeline.nowMs + scenario.fleet.roleChangeMs) else asked
        val assignments = engines.filter { it.up }.map { assignment(it) }
        val observation =
            RoleObservation(assignments, demand, speed.prefillTokensPerS, speed.decodeTokensPerS, measuredAtMs = nowMs)
        val plan = planner.plan(observation, if (bundle.knowing) PrefillShareForecast() else forecast, nowMs)
        forecast = plan.forecast
        asked = WorkTokens.NONE
        plan.changes.forEach { change -> order(engines.first { it.id == change.upstreamId }, change.to) }
        timeline.after(PLAN_MS) { plan() }
    }

    private fun assignment(engine: FakeEngine): RoleAssignment =
        RoleAssignment(engine.id, engine.role, sinceMs.getValue(engine), engine in changing)

    private fun order(engine: FakeEngine, role: UpstreamRole) {
        changes++
        changing += engine
        sinceMs[engine] = timeline.nowMs.toLong()
        changeRole(engine, role)
    }

    private fun trueDemand(atMs: Double): WorkTokens {
        val phase = scenario.phaseAt(atMs)
        val verdicts = phase.ratePerS * phase.verdictShare
        val instructions = phase.ratePerS - verdicts
        return uncached(scenario.verdict) * verdicts + uncached(scenario.instruction) * instructions
    }

    private fun trueShare(atMs: Double): Double {
        val demand = trueDemand(atMs)
        val prefillS = engines.first().speed.prefillMs(demand.prefillTokens)
        return prefillS / (prefillS + engines.first().speed.batchDecodeMs(demand.decodeTokens))
    }

    private fun uncached(kind: KindSpec): WorkTokens =
        WorkTokens(kind.promptTokens - expectedHit(kind), kind.outputTokens.toLong())

    private fun expectedHit(kind: KindSpec): Long = (kind.prefixTokens * EXPECTED_HIT_SHARE).toLong()

    private companion object {
        const val PLAN_MS = 1_000.0
        const val EXPECTED_HIT_SHARE = 0.7
    }
}
