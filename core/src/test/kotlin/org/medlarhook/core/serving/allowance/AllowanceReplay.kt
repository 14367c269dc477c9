package org.medlarhook.core.serving.allowance

import kotlin.random.Random

/** Processes that divide an allowance of [PER_S] a second, with reports that take [TRANSIT_MS] between them. */
internal class AllowanceReplay(
    private val processes: Int,
    private val mode: Mode = Mode.SHARED,
    private var limits: AllowanceLimits = LIMITS,
) {
    enum class Mode { SHARED, EQUAL_SHARES, EACH_WHOLE }

    private inner class Process(var name: String) {
        var state = SharedAllowance.starting(limits, nowMs)
        var heard = HeardProcesses(name)
        var isCutOff = false
        var nextReportAtMs = 0L
        var nextHeartbeatAtMs = 0L
        var carried = 0.0
    }

    private class Report(val atMs: Long, val from: Process, val name: String, val use: AllowanceUse)

    private val random = Random(7)
    private var nowMs = 0L
    private val members = List(processes) { Process("vm$it#0") }
    private val underWay = ArrayDeque<Report>()
    private val admitted = ArrayList<Pair<Long, Double>>()

    init {
        listRead()
    }

    private fun listRead() = members.forEach { it.heard = it.heard.listRead(members.map(Process::name).toSet(), nowMs) }

    /** Lets [forMs] pass; [askedPerS] states what is asked of each process. Returns the units admitted meanwhile. */
    fun run(forMs: Long, askedPerS: (Int) -> Double): Double {
        val from = admitted.size
        repeat((forMs / STEP_MS).toInt()) {
            nowMs += STEP_MS
            if (nowMs % LIST_EVERY_MS == 0L) listRead()
            deliver()
            members.shuffled(random).forEach { step(it, askedPerS(members.indexOf(it))) }
        }
        return admitted.drop(from).sumOf { it.second }
    }

    fun cutOff(process: Int) {
        members[process].isCutOff = true
    }

    fun restart(process: Int) = members[process].run {
        name = "${name.substringBefore('#')}#$nowMs"
        state = SharedAllowance.starting(limits, nowMs)
        heard = HeardProcesses(name)
    }

    fun limit(newer: AllowanceLimits) {
        limits = newer
        members.forEach { it.state = it.state.withLimits(newer) }
    }

    /** The most units that were admitted in a window of [windowMs] that begins at [fromMs] or later. */
    fun busiestWindow(fromMs: Long = 0, windowMs: Long = WINDOW_MS): Double {
        val later = admitted.filter { it.first >= fromMs }
        var first = 0
        var sum = 0.0
        return later.maxOf { (atMs, units) ->
            sum += units
            while (later[first].first <= atMs - windowMs) sum -= later[first++].second
            sum
        }
    }

    private fun step(process: Process, askedPerS: Double) {
        process.carried += askedPerS * STEP_MS / 1_000 * random.nextDouble(0.0, 2.0)
        while (process.carried >= COST) {
            process.carried -= COST
            if (admits(process)) admitted += nowMs to COST
        }
        val share = shareOf(process)
        process.state = process.state.refilled(share, nowMs)
        if (nowMs < process.nextReportAtMs) return
        if (nowMs < process.nextHeartbeatAtMs && !process.state.isReportDue(share, nowMs)) return
        process.nextReportAtMs = nowMs + share.reportEveryMs
        process.nextHeartbeatAtMs = nowMs + share.heartbeatEveryMs
        val use = process.state.report("w", nowMs)
        process.state = process.state.reported(use, nowMs)
        underWay += Report(nowMs + TRANSIT_MS, process, process.name, use)
    }

    private fun admits(process: Process): Boolean {
        val decision = process.state.decide(COST, random.nextDouble(), shareOf(process), nowMs)
        process.state = decision.state
        return decision is AllowanceDecision.Within
    }

    private fun shareOf(process: Process): HeardShare =
        when (mode) {
            Mode.SHARED -> process.heard.share(nowMs)
            Mode.EQUAL_SHARES -> HeardShare(processes, unheard = processes - 1)
            Mode.EACH_WHOLE -> HeardShare(processes = 1, unheard = 0)
        }

    private fun deliver() {
        while (underWay.isNotEmpty() && underWay.first().atMs <= nowMs) {
            val report = underWay.removeFirst()
            if (report.from.isCutOff || mode != Mode.SHARED) continue
            members.filter { it != report.from && !it.isCutOff }.forEach {
                it.heard = it.heard.heard(report.name, nowMs)
                it.state = it.state.heard(report.name, report.use, it.heard.share(nowMs), nowMs)
            }
        }
    }

    companion object {
        const val PER_S = 100_000.0
        const val COST = 4_000.0
        const val WINDOW_MS = 8_000L

        /** A burst of a second, and a third of a slack of 120,000. */
        val LIMITS = AllowanceLimits(PER_S, PER_S + 40_000)

        /** What a window may hold: the rate and the burst with an overshoot of a tenth, and the slack. */
        const val BOUND = (PER_S * WINDOW_MS / 1_000 + PER_S) * 1.1 + 120_000
        private const val STEP_MS = 10L
        private const val TRANSIT_MS = 40L
        private const val LIST_EVERY_MS = 5_000L
    }
}
