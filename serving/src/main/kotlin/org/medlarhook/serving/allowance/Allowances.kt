package org.medlarhook.serving.allowance

import org.medlarhook.core.serving.allowance.AllowanceBounds
import org.medlarhook.core.serving.allowance.AllowanceDecision
import org.medlarhook.core.serving.allowance.AllowanceLimits
import org.medlarhook.core.serving.allowance.HeardProcesses
import org.medlarhook.core.serving.allowance.SharedAllowance
import org.medlarhook.core.serving.config.Allowance
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.config.Workspace
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.ports.TimeSource
import kotlin.random.Random

/**
 * Keeps this process's view of the allowances of workspaces, and tells the other processes what it uses of them. Used
 * on the event loop only. Does nothing while no workspace has an allowance.
 */
internal class Allowances(
    private var bounds: AllowanceBounds,
    private val time: TimeSource,
    private val random: Random,
    private val log: AllowanceLog,
) {
    private var inForce: Map<String, Allowance> = emptyMap()
    private val states = HashMap<String, SharedAllowance>()
    private var processes = HeardProcesses(process = "")
    private var peers = AllowancePeers { }
    private var nextReportAtMs = 0L
    private var nextHeartbeatAtMs = 0L
    private var unheardLogged = 0

    /** Joins the processes at [others] as [process]. */
    fun join(process: String, others: AllowancePeers) {
        processes = processes.copy(process = process)
        peers = others
    }

    /** Puts the allowances of [config] in force. */
    fun configure(config: ServingConfig) {
        val newer =
            config.workspaceByKey.orEmpty().values
                .mapNotNull { workspace -> workspace.allowance?.let { workspace.name to it } }
                .toMap()
        if (newer == inForce) return
        inForce = newer
        updateLimits()
    }

    /** Puts [newer] bounds in force. */
    fun updateBounds(newer: AllowanceBounds) {
        bounds = newer
        updateLimits()
    }

    private fun updateLimits() {
        val nowMs = time.monotonicMs()
        val share = processes.share(nowMs)
        states.keys.retainAll(inForce.keys)
        inForce.forEach { (name, allowance) ->
            val limits = AllowanceLimits.of(allowance, bounds)
            states[name] =
                states[name]?.refilled(share, nowMs)?.withLimits(limits) ?: SharedAllowance.starting(limits, nowMs)
        }
        log.inForce(states.mapValues { it.value.limits })
    }

    /**
     * Withdraws a request with [generation] from the allowance of [workspace]. Returns null if it is within it, else
     * when to try again.
     */
    fun withdraw(workspace: Workspace, generation: GenerationWork?): Long? {
        val cost = workspace.allowance?.costOf(generation) ?: return null
        val state = states[workspace.name] ?: return null
        val nowMs = time.monotonicMs()
        val decision = state.decide(cost, random.nextDouble(), processes.share(nowMs), nowMs)
        states[workspace.name] = decision.state
        return when (decision) {
            is AllowanceDecision.Within -> {
                log.within()
                null
            }
            is AllowanceDecision.Over -> {
                log.over(workspace.name, cost, decision.state, processes, nowMs)
                decision.retryAfterMs
            }
        }
    }

    /** Settles the request of [demand], which was withdrawn once, after [runs] upstreams may have run it. */
    fun settle(demand: Demand, runs: Int) {
        val name = demand.workspace ?: return
        val cost = inForce[name]?.costOf(demand.generation) ?: return
        if (runs == 1) return
        states.computeIfPresent(name) { _, state -> state.used(cost * (runs - 1), time.monotonicMs()) }
    }

    /** Records the processes that publish usage counts. */
    fun processesRead(names: Set<String>) {
        processes = processes.listRead(names, time.monotonicMs())
        states.replaceAll { _, state -> state.forgetOthers { processes.knows(it) } }
    }

    /** Records what another process has told. */
    fun told(report: AllowanceReport) {
        if (inForce.isEmpty() || report.process == processes.process) return
        val nowMs = time.monotonicMs()
        processes = processes.heard(report.process, nowMs)
        if (!processes.knows(report.process)) return
        val share = processes.share(nowMs)
        report.uses.forEach { use ->
            states.computeIfPresent(use.workspace) { _, state -> state.heard(report.process, use, share, nowMs) }
        }
    }

    /** Periodic work: refills the allowances, and tells the other processes what is due. */
    fun tick() {
        if (states.isEmpty()) return
        val nowMs = time.monotonicMs()
        val share = processes.share(nowMs)
        logUnheard(share.unheard, share.processes)
        states.replaceAll { _, state -> state.refilled(share, nowMs) }
        if (nowMs < nextReportAtMs) return
        val isDue = nowMs >= nextHeartbeatAtMs || states.values.any { it.isReportDue(share, nowMs) }
        if (!isDue) return
        nextReportAtMs = nowMs + share.reportEveryMs
        nextHeartbeatAtMs = nowMs + share.heartbeatEveryMs
        report(nowMs)
    }

    private fun report(nowMs: Long) {
        val uses = states.filterValues { it.hasNews }.map { (name, state) -> state.report(name, nowMs) }
        uses.forEach { use -> states.computeIfPresent(use.workspace) { _, state -> state.reported(use, nowMs) } }
        peers.tell(AllowanceReport(processes.process, uses))
    }

    private fun logUnheard(unheard: Int, count: Int) {
        if (!processes.isListRead || unheard == unheardLogged) return
        if (unheard == 0 || unheardLogged == 0) log.unheard(unheard, count)
        unheardLogged = unheard
    }
}
