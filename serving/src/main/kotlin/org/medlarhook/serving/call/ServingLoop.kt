package org.medlarhook.serving.call

import io.netty.channel.EventLoop
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.load.PredictionError
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Placer
import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import org.medlarhook.core.serving.retry.WindowedRetryBudget
import org.medlarhook.core.serving.trust.ConfigFreshness
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.process.ServingBounds
import org.medlarhook.serving.upstream.UpstreamPool
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * What the process knows and decides about requests, on one event loop.
 *
 * Feeds of configuration and registry, answers of upstreams and timers all come here as tasks of the loop, so that
 * there are no locks. Decisions are functions of `core`; this class keeps their state.
 */
internal class ServingLoop(
    val loop: EventLoop,
    val format: CallFormat,
    private val time: TimeSource,
    private var bounds: ServingBounds,
    private val placer: Placer,
    private val log: RequestLog,
) {
    val pool = UpstreamPool(loop, format, time)
    private val random = Random(System.nanoTime())
    private val returnTime = RetryAfterPolicy(random)
    private var loads: PersistentMap<Incarnation, UpstreamLoad> = persistentMapOf()
    private var budgets: PersistentMap<String, WindowedRetryBudget> = persistentMapOf()
    private var errors: PersistentMap<String, PredictionError> = persistentMapOf()
    private var peers = 1
    private var inFlight = 0

    var config: ServingConfig? = null
        private set
    var registry = UpstreamRegistry()
        private set
    var configFreshness = ConfigFreshness(bounds.keyTrustMs)
        private set
    var usage = UsageWindows(bounds.usageWindowMs)
        private set

    /** Requests that have no final answer yet. */
    val requestsInFlight: Int get() = inFlight

    /** The loads, for dumps. */
    val loadView: Map<Incarnation, UpstreamLoad> get() = loads

    fun nowMs(): Long = time.monotonicMs()

    fun schedule(atMs: Long, task: () -> Unit): Future<*> =
        loop.schedule(task, (atMs - nowMs()).coerceAtLeast(0), TimeUnit.MILLISECONDS)

    /** Puts [newer] in force unless a later version is. */
    fun configure(newer: ServingConfig): Boolean {
        val current = config
        if (current != null && newer.version <= current.version) return false
        config = newer
        return true
    }

    fun confirmConfig(begunAtMs: Long, begunIn: Int) {
        configFreshness = configFreshness.confirmed(begunAtMs, begunIn)
    }

    fun observeClocks() {
        configFreshness = configFreshness.observed(nowMs(), time.wallMs())
    }

    fun updateRegistry(update: RegistryUpdate) {
        registry = registry.apply(update, nowMs())
        forgetGone()
    }

    fun setPeers(count: Int) {
        peers = count.coerceAtLeast(1)
        limitRepeats()
    }

    /** Puts changed [newer] bounds in force. */
    fun updateBounds(newer: ServingBounds) {
        bounds = newer
        configFreshness = configFreshness.withMaxAge(newer.keyTrustMs)
        limitRepeats()
    }

    private fun limitRepeats() {
        budgets = budgets.mapBudgets { it.withLimits(bounds.repeatRatio, bounds.repeatSlack / peers) }
    }

    /** Regular work: registrations that did not come back, idle connections, and the clocks. */
    fun tick() {
        observeClocks()
        registry = registry.expire(nowMs())
        forgetGone()
    }

    fun admit(call: CallerCall): Admission {
        inFlight++
        val current = config ?: return Admission.Rejected(ResultCode.NO_CONFIG, RETRY_WITHOUT_CONFIG_MS)
        val route = current.routes.find(call.host, call.path) ?: return Admission.Rejected(ResultCode.NO_ROUTE, null)
        val nowMs = nowMs()
        val workspace =
            if (route.isAnonymous || current.workspaceByKey == null) {
                null
            } else {
                observeClocks()
                val key = call.apiKey ?: return Admission.Rejected(ResultCode.KEY_MISSING, null)
                if (!configFreshness.mayAccept(nowMs)) {
                    return Admission.Rejected(ResultCode.AUTHORITY_UNCERTAIN, RETRY_UNSURE_MS)
                }
                current.workspaceByKey!![key] ?: return Admission.Rejected(ResultCode.KEY_INVALID, null)
            }
        val waitMs = minOf(call.remainingMs ?: route.timeoutMs, route.timeoutMs)
        val service = pick(route)
        budgets = budgets.put(service, budgetOf(service).requested(nowMs))
        return Admission.Admitted(
            Demand(
                route = route,
                service = service,
                generation = call.generation,
                workspace = workspace?.name,
                arrivedAtMs = nowMs,
                deadlineAtMs = nowMs + waitMs,
                priority = workspace?.priority ?: route.priority,
                engine = current.services[service]?.engine,
            ),
        )
    }

    fun place(demand: Demand, tried: Set<String>, nowMs: Long): Placement =
        placer.place(demand, registry.serving(demand.service), loads, tried, errorOf(demand.service), nowMs)

    /** A first event that was predicted in [predictedMs] has come, or was given up, after [observedMs]. */
    fun firstEventSeen(service: String, predictedMs: Double, observedMs: Double) {
        errors = errors.put(service, errorOf(service).observed(predictedMs, observedMs))
    }

    private fun errorOf(service: String): PredictionError = errors[service] ?: PredictionError()

    fun hasAnother(demand: Demand, tried: Set<String>): Boolean =
        registry.serving(demand.service).any { it.id !in tried }

    fun withdrawRepeat(service: String, nowMs: Long): Boolean {
        val left = budgetOf(service).withdraw(nowMs) ?: return false
        budgets = budgets.put(service, left)
        return true
    }

    fun retryAfterMs(demand: Demand, placement: Placement, nowMs: Long): Long {
        val leftMs = demand.deadlineAtMs - nowMs
        val admissibleInMs = (placement as? Placement.NoCapacity)?.admissibleInMs ?: RETRY_WITHOUT_UPSTREAM_MS
        return returnTime.retryAfterMs(leftMs, admissibleInMs)
    }

    fun busyRetryAfterMs(demand: Demand): Long =
        retryAfterMs(demand, Placement.NoCapacity(BUSY_ROOM_MS), nowMs())

    fun updateLoad(incarnation: Incarnation, slots: Int, change: (UpstreamLoad) -> UpstreamLoad) {
        loads = loads.put(incarnation, change(loads[incarnation] ?: UpstreamLoad(slots)))
    }

    /** The upstreams of [demand]'s service that only read prompts. */
    fun readers(demand: Demand): List<String> =
        registry.serving(demand.service).filter { it.stage == EngineStage.PREFILL }.map { it.id }

    /** Frees the cache that [reader] keeps as [cacheHandle]. */
    fun release(reader: Upstream, cacheHandle: String) {
        pool.send(reader, null, format.cacheReleaseRequest(reader, cacheHandle), mayRepeat = true, IgnoredAnswer)
    }

    /** A request of [demand]'s workspace has begun to run. */
    fun began(demand: Demand) {
        val workspace = demand.workspace ?: return
        usage = usage.counted(workspace, nowMs())
    }

    /** Replaces the usage windows, when they were collected or their clock was set. */
    fun updateUsage(change: (UsageWindows) -> UsageWindows) {
        usage = change(usage)
    }

    /** Closes the idle connections to [upstreamId], which went silent or leads to another upstream now. */
    fun distrustConnections(upstreamId: String) {
        registry.find(upstreamId)?.let { pool.distrust(it.incarnation) }
    }

    fun finished(record: ExchangeRecord, outcome: Outcome) {
        inFlight--
        log.finished(record, outcome, config?.version, configFreshness.confirmedAtMs, nowMs())
    }

    private fun pick(route: Route): String {
        val targets = route.targets
        if (targets.size == 1) return targets[0].service
        var point = random.nextInt(targets.sumOf { it.weight }.coerceAtLeast(1))
        return targets.firstOrNull { target -> (point < target.weight).also { point -= target.weight } }?.service
            ?: targets.last().service
    }

    private fun budgetOf(service: String): WindowedRetryBudget =
        budgets[service] ?: WindowedRetryBudget(bounds.repeatRatio, bounds.repeatSlack / peers, bounds.repeatWindowMs)

    private fun forgetGone() {
        val known = registry.all().map(Upstream::incarnation).toSet()
        pool.prune(known)
        val gone = loads.keys.filter { it !in known }
        if (gone.isNotEmpty()) loads = gone.fold(loads) { kept, incarnation -> kept.remove(incarnation) }
    }

    private fun PersistentMap<String, WindowedRetryBudget>.mapBudgets(
        change: (WindowedRetryBudget) -> WindowedRetryBudget,
    ): PersistentMap<String, WindowedRetryBudget> = entries.fold(this) { all, (service, budget) ->
        all.put(service, change(budget))
    }

    private companion object {
        /** A process that has just started knows its configuration within this time. */
        const val RETRY_WITHOUT_CONFIG_MS = 300L

        /** Another process, which a new connection reaches, may know more. */
        const val RETRY_UNSURE_MS = 100L

        const val RETRY_WITHOUT_UPSTREAM_MS = 300.0

        /** A full queue of an upstream has moved on by about this time. */
        const val BUSY_ROOM_MS = 150.0
    }
}
