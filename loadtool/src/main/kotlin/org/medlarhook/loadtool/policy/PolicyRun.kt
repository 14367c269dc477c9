package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.LoadReport
import org.medlarhook.core.routing.RoutingPolicy
import org.medlarhook.core.routing.RoutingPolicyName
import org.medlarhook.core.routing.TokenWorkPolicy
import kotlin.math.ln
import kotlin.random.Random

/** A discrete-event simulation of one policy variant on one scenario. The seed determines the results. */
internal class PolicyRun(
    private val scenario: PolicyScenario,
    private val variant: PolicyVariant,
    seed: Long,
) : AttemptListener {
    private val scheduler = EventScheduler()
    private val arrivalRandom = Random(seed)
    private val policyRandom = Random(seed + 1)
    private val fleet = scenario.fleet
    private val engines =
        fleet.regions.flatMap { region ->
            List(region.engines) { FakeEngine("${region.name}-$it", region.name, fleet) }
        }
    private val weights = scenario.workspaces.map { it.demand }
    private val sidecars =
        engines.associateWith { FakeSidecar(it, scheduler, this, weights, variant) }
    private val entries = fleet.regions.map { FakeEntry(it.name, variant, fleet, policyFor(it.name), engines) }
    private val roleController = RoleController(scenario, variant, scheduler, engines, ::changeRole)
    private val requests = mutableListOf<SimulatedRequest>()
    private var crossRegionBytes = 0L
    private var retryCount = 0

    /** Simulates the scenario, and after its last arrival a further [DRAIN_MS] in which requests can still end. */
    fun run(): PolicyFigures {
        roleController.start()
        scheduleArrival()
        engines.forEach { scheduleReport(it) }
        scenario.faults.forEach { schedule(it) }
        scheduler.runUntil(scenario.durationS * MS_PER_S + DRAIN_MS)
        return figures()
    }

    override fun onRefused(request: SimulatedRequest, engine: FakeEngine) {
        entries[request.entryIndex].onEnded(request, engine)
        request.excluded += engine.id
        if (request.attempts < MAX_ATTEMPTS_IF_REFUSED) send(request) else request.outcome = Outcome.REFUSED
    }

    override fun onFailed(request: SimulatedRequest, engine: FakeEngine) {
        val entry = entries[request.entryIndex]
        scheduler.scheduleAfter(entry.latencyMs(engine)) {
            entry.onEnded(request, engine)
            entry.onOutcome(engine, failed = true, scheduler.nowMs.toLong())
            request.excluded += engine.id
            if (scheduler.nowMs < request.deadlineMs && entry.tryAcquireRetry(request)) {
                retryCount++
                send(request)
            } else {
                request.outcome = Outcome.FAILED
            }
        }
    }

    override fun onDone(request: SimulatedRequest, engine: FakeEngine) {
        val entry = entries[request.entryIndex]
        scheduler.scheduleAfter(entry.latencyMs(engine)) {
            entry.onEnded(request, engine)
            entry.onReport(engine, reportOf(engine))
            entry.onOutcome(engine, failed = false, scheduler.nowMs.toLong())
            request.outcome = if (request.isInTime()) Outcome.GOOD else Outcome.LATE
        }
    }

    private fun policyFor(region: String): RoutingPolicy =
        when {
            variant.usesOracle -> OraclePolicy {
                routeRequest,
                candidate,
                ->
                cachedTokens(routeRequest.prefixHash, candidate.upstreamId)
            }
            variant.routing == RoutingPolicyName.TOKEN_WORK -> TokenWorkPolicy(policyRandom, region)
            else -> variant.routing.create(policyRandom, region)
        }

    private fun cachedTokens(prefixHash: Long?, engineId: String): Long =
        if (prefixHash == null) 0 else engines.first { it.id == engineId }.cachedPrefixTokens(prefixHash)

    private fun scheduleArrival() {
        val ratePerS = scenario.phaseAt(scheduler.nowMs).ratePerS * surgeFactor()
        scheduler.scheduleAfter(-ln(1 - arrivalRandom.nextDouble()) * MS_PER_S / ratePerS) {
            if (scheduler.nowMs > scenario.durationS * MS_PER_S) return@scheduleAfter
            arrive()
            scheduleArrival()
        }
    }

    /** Factor by which the surges of workspaces raise the arrival rate. */
    private fun surgeFactor(): Double = demands().sum() / weights.sum()

    private fun demands(): List<Double> {
        val atS = scheduler.nowMs / MS_PER_S
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
        val phase = scenario.phaseAt(scheduler.nowMs)
        val kind = if (arrivalRandom.nextDouble() < phase.verdictShare) scenario.verdict else scenario.instruction
        val workspace = pickWorkspace(demands())
        val prefix = workspace * MAX_PREFIXES_PER_WORKSPACE + arrivalRandom.nextInt(kind.prefixes)
        val hash = if (kind.streamed) -prefix - 1L else prefix.toLong()
        val request = SimulatedRequest(workspace, kind, randomLiveEntry(), scheduler.nowMs, hash)
        requests += request
        roleController.onArrival(request)
        send(request)
    }

    /** A random entry, as a load balancer chooses it, outside the regions that are down. */
    private fun randomLiveEntry(): Int {
        val atS = scheduler.nowMs / MS_PER_S
        val lostRegions = scenario.faults.filter { atS >= it.fromS && atS < it.toS }.mapNotNull { it.region }
        val liveEntries = fleet.regions.indices.filter { fleet.regions[it].name !in lostRegions }
        return liveEntries[arrivalRandom.nextInt(liveEntries.size)]
    }

    private fun pickWorkspace(demands: List<Double>): Int {
        var remaining = arrivalRandom.nextDouble() * demands.sum()
        demands.forEachIndexed { index, demand ->
            remaining -= demand
            if (remaining < 0) return index
        }
        return demands.lastIndex
    }

    private fun send(request: SimulatedRequest) {
        val entry = entries[request.entryIndex]
        val exactLoad: ((FakeEngine) -> LoadReport)? = if (variant.usesOracle) { engine -> reportOf(engine) } else null
        val engine = entry.choose(request, exactLoad, scheduler.nowMs.toLong())
        if (engine == null) {
            request.outcome = Outcome.REFUSED
            return
        }
        request.attempts++
        entry.onSent(request, engine)
        if (engine.region !=
            fleet.regions[request.entryIndex].name
        ) {
            crossRegionBytes += request.kind.promptTokens * FakeEntry.BYTES_PER_TOKEN
        }
        scheduler.scheduleAfter(entry.latencyMs(engine)) { sidecars.getValue(engine).offer(request) }
    }

    private fun reportOf(engine: FakeEngine): LoadReport = sidecars.getValue(engine).report()

    private fun scheduleReport(engine: FakeEngine) {
        scheduler.scheduleAfter(scenario.reportIntervalMs) {
            if (engine.up) {
                val report = reportOf(engine)
                scheduler.scheduleAfter(scenario.reportLagMs) { entries.forEach { it.onReport(engine, report) } }
            }
            scheduleReport(engine)
        }
    }

    private fun schedule(fault: FaultSpec) {
        val affected = engines.filterIndexed { index, engine -> index == fault.engine || engine.region == fault.region }
        scheduler.scheduleAt(fault.fromS * MS_PER_S) { affected.forEach { sidecars.getValue(it).crash() } }
        scheduler.scheduleAt(fault.toS * MS_PER_S) { affected.forEach { it.up = true } }
    }

    /**
     * Drains the engine, then keeps it unavailable for the duration of a role change. It continues with an empty prefix
     * cache.
     */
    private fun changeRole(engine: FakeEngine, role: UpstreamRole) {
        engine.role = role
        engine.draining = true
        awaitDrained(engine)
    }

    private fun awaitDrained(engine: FakeEngine) {
        if (sidecars.getValue(engine).report().requests > 0 && engine.up) {
            scheduler.scheduleAfter(DRAIN_POLL_MS) { awaitDrained(engine) }
            return
        }
        scheduler.scheduleAfter(fleet.roleChangeMs) {
            engine.clear()
            engine.draining = false
            roleController.onChanged(engine)
            sidecars.getValue(engine).dispatchQueued()
        }
    }

    private fun figures(): PolicyFigures {
        val measured = requests.filter { it.arrivedAtMs >= scenario.warmUpS * MS_PER_S }
        return PolicyFigures.of(
            measured,
            scenario.workspaces.indices.filter { scenario.workspaces[it].surge == 1.0 },
            PolicyCounts(
                retries = retryCount,
                requests = requests.size,
                roleChanges = roleController.changes,
                hitShare =
                    engines.sumOf { it.cacheHits }.toDouble() / engines.sumOf { it.cacheLookups }.coerceAtLeast(1),
                crossMb = crossRegionBytes / BYTES_PER_MB,
            ),
        )
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val DRAIN_MS = 30_000.0
        const val DRAIN_POLL_MS = 100.0
        const val MAX_ATTEMPTS_IF_REFUSED = 2
        const val MAX_PREFIXES_PER_WORKSPACE = 10_000
        const val BYTES_PER_MB = 1_000_000.0
    }
}
