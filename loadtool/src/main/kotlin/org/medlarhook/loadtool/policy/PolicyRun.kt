package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.LoadReport
import org.medlarhook.core.routing.RoutingPolicy
import org.medlarhook.core.routing.RoutingPolicyName
import org.medlarhook.core.routing.TokenWorkPolicy
import kotlin.math.ln
import kotlin.random.Random

/** One run of the decision functions against fake engines, with time as an argument. */
internal class PolicyRun(
    private val scenario: PolicyScenario,
    private val bundle: Bundle,
    seed: Long,
) : AttemptListener {
    private val timeline = Timeline()
    private val arrivals = Random(seed)
    private val choices = Random(seed + 1)
    private val fleet = scenario.fleet
    private val engines =
        fleet.regions.flatMap { region ->
            List(region.engines) { FakeEngine("${region.name}-$it", region.name, fleet) }
        }
    private val weights = scenario.workspaces.map { it.demand }
    private val sidecars =
        engines.associateWith { FakeSidecar(it, timeline, this, weights, bundle) }
    private val entries = fleet.regions.map { FakeEntry(it.name, bundle, fleet, policyIn(it.name), engines) }
    private val roles = RoleDriver(scenario, bundle, timeline, engines, ::changeRole)
    private val jobs = mutableListOf<Job>()
    private var crossBytes = 0L
    private var retries = 0

    /** Runs the scenario to its end. */
    fun run(): PolicyFigures {
        roles.start()
        scheduleArrival()
        engines.forEach { scheduleReport(it) }
        scenario.faults.forEach { schedule(it) }
        timeline.runUntil(scenario.durationS * MS_PER_S + DRAIN_MS)
        return figures()
    }

    override fun onRefused(job: Job, engine: FakeEngine) {
        entries[job.entry].onEnded(job, engine)
        job.excluded += engine.id
        if (job.attempts < MAX_OFFERS) send(job) else job.outcome = Outcome.REFUSED
    }

    override fun onFailed(job: Job, engine: FakeEngine) {
        val entry = entries[job.entry]
        timeline.after(entry.latencyMs(engine)) {
            entry.onEnded(job, engine)
            entry.onAnswer(engine, failed = true, timeline.nowMs.toLong())
            job.excluded += engine.id
            if (timeline.nowMs < job.deadlineMs && entry.mayRetry(job)) {
                retries++
                send(job)
            } else {
                job.outcome = Outcome.FAILED
            }
        }
    }

    override fun onDone(job: Job, engine: FakeEngine) {
        val entry = entries[job.entry]
        timeline.after(entry.latencyMs(engine)) {
            entry.onEnded(job, engine)
            entry.onReport(engine, reportOf(engine))
            entry.onAnswer(engine, failed = false, timeline.nowMs.toLong())
            job.outcome = if (job.isInTime()) Outcome.GOOD else Outcome.LATE
        }
    }

    private fun policyIn(region: String): RoutingPolicy =
        when {
            bundle.knowing -> KnowingPolicy {
                request,
                candidate,
                ->
                cachedTokens(request.prefixHash, candidate.upstreamId)
            }
            bundle.routing == RoutingPolicyName.TOKEN_WORK -> TokenWorkPolicy(choices, region)
            else -> bundle.routing.create(choices, region)
        }

    private fun cachedTokens(prefixHash: Long?, engineId: String): Long =
        if (prefixHash == null) 0 else engines.first { it.id == engineId }.cachedOf(prefixHash)

    private fun scheduleArrival() {
        val ratePerS = scenario.phaseAt(timeline.nowMs).ratePerS * surge()
        timeline.after(-ln(1 - arrivals.nextDouble()) * MS_PER_S / ratePerS) {
            if (timeline.nowMs > scenario.durationS * MS_PER_S) return@after
            arrive()
            scheduleArrival()
        }
    }

    private fun surge(): Double = demands().sum() / weights.sum()

    private fun demands(): List<Double> {
        val atS = timeline.nowMs / MS_PER_S
        return scenario.workspaces.map {
            if (atS in
                it.surgeFromS..it.surgeToS
            ) {
                it.demand * it.surge
            } else {
                it.demand + 0.0
            }
        }
    }

    private fun arrive() {
        val phase = scenario.phaseAt(timeline.nowMs)
        val kind = if (arrivals.nextDouble() < phase.verdictShare) scenario.verdict else scenario.instruction
        val workspace = pick(demands())
        val prefix = workspace * PREFIX_STRIDE + arrivals.nextInt(kind.prefixes)
        val hash = if (kind.streamed) -prefix - 1L else prefix.toLong()
        val job = Job(workspace, kind, liveEntry(), timeline.nowMs, hash)
        jobs += job
        roles.onArrival(job)
        send(job)
    }

    /** The balancer's choice among the entries whose region is not lost. */
    private fun liveEntry(): Int {
        val atS = timeline.nowMs / MS_PER_S
        val lost = scenario.faults.filter { atS >= it.fromS && atS < it.toS }.mapNotNull { it.region }
        val live = fleet.regions.indices.filter { fleet.regions[it].name !in lost }
        return live[arrivals.nextInt(live.size)]
    }

    private fun pick(demands: List<Double>): Int {
        var left = arrivals.nextDouble() * demands.sum()
        demands.forEachIndexed { index, demand ->
            left -= demand
            if (left < 0) return index
        }
        return demands.lastIndex
    }

    private fun send(job: Job) {
        val entry = entries[job.entry]
        val trueLoad: ((FakeEngine) -> LoadReport)? = if (bundle.knowing) { engine -> reportOf(engine) } else null
        val engine = entry.choose(job, trueLoad, timeline.nowMs.toLong())
        if (engine == null) {
            job.outcome = Outcome.REFUSED
            return
        }
        job.attempts++
        entry.onSent(job, engine)
        if (engine.region !=
            fleet.regions[job.entry].name
        ) {
            crossBytes += job.kind.promptTokens * FakeEntry.BYTES_PER_TOKEN
        }
        timeline.after(entry.latencyMs(engine)) { sidecars.getValue(engine).offer(job) }
    }

    private fun reportOf(engine: FakeEngine): LoadReport = sidecars.getValue(engine).report()

    private fun scheduleReport(engine: FakeEngine) {
        timeline.after(scenario.reportIntervalMs) {
            if (engine.up) {
                val report = reportOf(engine)
                timeline.after(scenario.reportLagMs) { entries.forEach { it.onReport(engine, report) } }
            }
            scheduleReport(engine)
        }
    }

    private fun schedule(fault: FaultSpec) {
        val hit = engines.filterIndexed { index, engine -> index == fault.engine || engine.region == fault.region }
        timeline.at(fault.fromS * MS_PER_S) { hit.forEach { sidecars.getValue(it).crash() } }
        timeline.at(fault.toS * MS_PER_S) { hit.forEach { it.up = true } }
    }

    /** Lets the engine finish what it runs, takes it away for the change, and brings it back with an empty cache. */
    private fun changeRole(engine: FakeEngine, role: UpstreamRole) {
        engine.role = role
        engine.draining = true
        awaitDrained(engine)
    }

    private fun awaitDrained(engine: FakeEngine) {
        if (sidecars.getValue(engine).report().requests > 0 && engine.up) {
            timeline.after(DRAIN_CHECK_MS) { awaitDrained(engine) }
            return
        }
        timeline.after(fleet.roleChangeMs) {
            engine.clear()
            engine.draining = false
            roles.onChanged(engine)
            sidecars.getValue(engine).pump()
        }
    }

    private fun figures(): PolicyFigures {
        val counted = jobs.filter { it.arrivedMs >= scenario.warmUpS * MS_PER_S }
        return PolicyFigures.of(
            counted,
            scenario.workspaces.indices.filter { scenario.workspaces[it].surge == 1.0 },
            PolicyCounts(
                retries = retries,
                requests = jobs.size,
                roleChanges = roles.changes,
                hitShare = engines.sumOf { it.hits }.toDouble() / engines.sumOf { it.lookups }.coerceAtLeast(1),
                crossMb = crossBytes / BYTES_PER_MB,
            ),
        )
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val DRAIN_MS = 30_000.0
        const val DRAIN_CHECK_MS = 100.0
        const val MAX_OFFERS = 2
        const val PREFIX_STRIDE = 10_000
        const val BYTES_PER_MB = 1_000_000.0
    }
}
