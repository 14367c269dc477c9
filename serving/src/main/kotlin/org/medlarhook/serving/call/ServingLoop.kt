package org.medlarhook.serving.call

import io.netty.channel.EventLoop
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.config.ServingConfig
import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.RegistryUpdate
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamRegistry
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Placer
import org.medlarhook.core.serving.refuse.ReopeningWait
import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import org.medlarhook.core.serving.resume.StreamOrigin
import org.medlarhook.core.serving.shutdown.ShutdownAdmission
import org.medlarhook.core.serving.shutdown.ShutdownWindow
import org.medlarhook.core.serving.trust.ConfigFreshness
import org.medlarhook.core.serving.usage.UsageWindows
import org.medlarhook.ports.TimeSource
import org.medlarhook.serving.allowance.Allowances
import org.medlarhook.serving.crash.CrashSubject
import org.medlarhook.serving.crash.UpstreamCrashes
import org.medlarhook.serving.peer.LimitReport
import org.medlarhook.serving.process.ServingBounds
import org.medlarhook.serving.second.SecondAttempts
import org.medlarhook.serving.upstream.RequestPermits
import org.medlarhook.serving.upstream.UpstreamAvailability
import org.medlarhook.serving.upstream.UpstreamPool
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Holds the state of the request path, and admits and places requests, on one event loop.
 *
 * Updates of configuration and registry, answers of upstreams and timers all run as tasks of the loop, so that no
 * locks are needed. Decisions are functions of `core`; this class keeps their state.
 */
internal class ServingLoop(
    val loop: EventLoop,
    val format: CallFormat,
    private val time: TimeSource,
    private var bounds: ServingBounds,
    private val placer: Placer,
    private val log: RequestLog,
) {
    private val random = Random(System.nanoTime())

    /** What upstreams have said about the work that they want. */
    val availability = UpstreamAvailability(time, random, log)
    val pool = UpstreamPool(loop, format, time, availability, log.answers)
    val origins =
        StreamOrigins(time, { observeClocks() }) { delayMs, task ->
            loop.schedule(task, delayMs, TimeUnit.MILLISECONDS)
        }

    /** The requests and prompt parts under which upstreams crash. */
    val loopDelay = LoopDelay { delayMs, task -> schedule(nowMs() + delayMs, task) }
    val crashes = UpstreamCrashes(time, log.crashes, ::isLeaving) { delayMs, task -> schedule(nowMs() + delayMs, task) }
    private val retryAfterPolicy = RetryAfterPolicy(random)
    private var loads: PersistentMap<Incarnation, UpstreamLoad> = persistentMapOf()
    private var estimates: PersistentMap<String, ServiceEstimates> = persistentMapOf()
    private var inFlight = 0
    private val waitingRequests = WaitingRequests()

    /** The retries that this process may send. */
    val retryBudgets = RetryBudgets(bounds, log)

    /** What the workspaces may use. */
    val allowances = Allowances(bounds.allowance, time, random, log.allowances)
    private val admission = RequestAdmission(this, random, retryAfterPolicy)
    val cacheReleases = CacheReleases(this)
    val secondAttempts = SecondAttempts(this, log.seconds)

    /** The longest time for which a caller may keep its upstream waiting, or null for no limit. */
    val maxCallerPauseMs: Long? get() = bounds.maxCallerPauseMs

    /** True if an upstream of [service] has told how long work takes on the machine that it shares with others. */
    fun sharesMachines(service: String): Boolean = estimatesOf(service).workTimes.isTold

    /** The plain answers that are kept until they are whole. */
    val answerBuffers = AnswerBuffers(time)

    init {
        availability.onLeaving = { pool.closeIdle(it.incarnation) }
        availability.sharedClockOffsetMs = { usage.offsetMs }
    }

    var config: ServingConfig? = null
        private set
    var registry = UpstreamRegistry()
        private set
    var configFreshness = ConfigFreshness(bounds.keyTrustMs)
        private set
    var usage = UsageWindows(bounds.usageWindowMs)
        private set

    /** The graceful shutdown of the process, or null before it has begun. */
    var shutdown: ShutdownWindow? = null
        private set

    /** Requests that have no final answer yet. */
    val requestsInFlight: Int get() = inFlight

    /** Read access to the loads, for state dumps. */
    val loadView: Map<Incarnation, UpstreamLoad> get() = loads

    fun nowMs(): Long = time.monotonicMs()

    /** Runs [task] on the loop at [atMs] on the monotonic clock. */
    fun schedule(atMs: Long, task: () -> Unit): Future<*> =
        loop.schedule(task, (atMs - nowMs()).coerceAtLeast(0), TimeUnit.MILLISECONDS)

    /** Puts [newer] in force, and returns false if its version is not later than the current one. */
    fun configure(newer: ServingConfig): Boolean {
        configFreshness = configFreshness.shown(newer.version)
        val current = config
        if (current != null && newer.version <= current.version) return false
        config = newer
        allowances.configure(newer)
        return true
    }

    /** Records that the store came back from an older copy, so that an older configuration may stand in it. */
    fun storeRestored() {
        configFreshness = configFreshness.storeRestored()
    }

    /** Records that a read which began at [begunAtMs] in [clockGeneration] has confirmed the configuration. */
    fun confirmConfig(begunAtMs: Long, clockGeneration: Int) {
        configFreshness = configFreshness.confirmed(begunAtMs, clockGeneration)
    }

    /**
     * Compares the clocks: after a suspension of the VM, keys are refused until the configuration is read again.
     * Returns a number that changes with each suspension.
     */
    fun observeClocks(): Int {
        configFreshness = configFreshness.observed(nowMs(), time.wallMs())
        return configFreshness.generation
    }

    /** Records a suspension that the clocks of this VM don't show: keys are refused as in [observeClocks]. */
    fun suspended() {
        configFreshness = configFreshness.suspended()
    }

    /** Follows the registry; [reading] brought [update]. */
    fun updateRegistry(update: RegistryUpdate, reading: RegistryReading = RegistryReading(nowMs())) {
        registry = registry.apply(update, nowMs())
        origins.registryUpdated(update, registry, reading)
        dropUnregistered()
    }

    /** Puts [newer] bounds in force. */
    fun updateBounds(newer: ServingBounds) {
        bounds = newer
        configFreshness = configFreshness.withMaxAge(newer.keyTrustMs)
        retryBudgets.updateBounds(newer)
        allowances.updateBounds(newer.allowance)
    }

    /** Begins the graceful shutdown, from which on each answer closes its connection. */
    fun beginShutdown(window: ShutdownWindow) {
        shutdown = window
        origins.stopping()
    }

    /** Periodic work: compares the clocks, and drops expired registrations with their loads and idle connections. */
    fun tick() {
        loopDelay.observe(nowMs())
        observeClocks()
        registry = registry.expire(nowMs())
        origins.prune()
        crashes.tick()
        allowances.tick()
        dropUnregistered()
    }

    /** True if the end of [upstream] was announced, or its registration was removed. */
    private fun isLeaving(upstream: Upstream): Boolean =
        availability.isLeaving(upstream.incarnation) || registry.find(upstream.id)?.isDraining != false

    /** Counts a request that arrived at [arrivedAtMs] as in flight, and admits or refuses it. */
    fun admit(call: CallerCall, arrivedAtMs: Long): Admission {
        inFlight++
        return admission.decide(call, arrivedAtMs)
    }

    /** True if an attempt of [demand] that begins at [nowMs] ends before the process does, as far as can be told. */
    fun endsBeforeShutdown(demand: Demand, nowMs: Long): Boolean =
        shutdown?.let { ShutdownAdmission.admits(demand, estimatesOf(demand.service), it, nowMs) } ?: true

    /**
     * Chooses the upstream of [demand] among those that may serve it and are not in [tried]. Where upstreams limit
     * their requests, one that has not waited yet comes after those that wait.
     */
    fun place(demand: Demand, tried: Set<String>, hasWaited: Boolean, nowMs: Long): Placement {
        val candidates = candidates(demand)
        val ahead = if (hasWaited) 0 else waitingRequests.of(demand.service)
        val open = candidates.filter { availability.opensInMs(listOf(it), ahead, nowMs) == null }
        val placement = placer.place(demand, open, loads, tried, estimatesOf(demand.service), nowMs)
        if (placement !is Placement.NoUpstream) return placement
        return opensInMs(demand, candidates, tried, nowMs)?.let { Placement.AllClosed(it) } ?: placement
    }

    /** The time until one of [candidates] opens for a request behind all that wait for it. */
    private fun opensInMs(demand: Demand, candidates: List<Upstream>, tried: Set<String>, nowMs: Long): Long? {
        val untried = candidates.filter { it.id !in tried && it.stage != EngineStage.PREFILL }
        return availability.opensInMs(untried, waitingRequests.of(demand.service), nowMs)
    }

    /**
     * Calls [onOpen] when an upstream of [demand] is expected to open for it. Returns false, and does not call it, if
     * that takes longer than its time.
     */
    fun awaitReopening(demand: Demand, placement: Placement.AllClosed, nowMs: Long, onOpen: () -> Unit): Boolean {
        val remainingMs = demand.deadlineAtMs - nowMs
        val waitMs = ReopeningWait.waitMs(placement.opensInMs, remainingMs, random.nextDouble()) ?: return false
        waitingRequests.began(demand.service)
        schedule(nowMs + waitMs) {
            waitingRequests.ended(demand.service)
            onOpen()
        }
        return true
    }

    /** The turns that an attempt of [subject] claims at upstreams that limit their requests. */
    fun newPermits(subject: CrashSubject): RequestPermits =
        RequestPermits(availability) { !crashes.isQuarantined(subject) }

    /** Records the limit of an upstream that another process has told of. */
    fun limitReported(report: LimitReport) {
        val incarnation = Incarnation(report.upstreamId, report.startedAtMs)
        val upstream = registry.find(report.upstreamId)?.takeIf { it.incarnation == incarnation } ?: return
        availability.reported(upstream, report)
    }

    /** The engines of the prefill stage only prepare a prompt, so that their version does not matter. */
    private fun candidates(demand: Demand): List<Upstream> =
        registry.serving(demand.service)
            .filter { it.stage == EngineStage.PREFILL || demand.origin.permits(it) }
            .filterNot { availability.isLeaving(it.incarnation) }

    /** Records that a first event predicted in [predictedMs] came, or was no longer awaited, after [observedMs]. */
    fun firstEventObserved(service: String, predictedMs: Double, observedMs: Double) {
        updateEstimates(service) { it.copy(error = it.error.observed(predictedMs, observedMs)) }
    }

    /** Applies [change] to what is known of [service] as a whole. */
    fun updateEstimates(service: String, change: (ServiceEstimates) -> ServiceEstimates) {
        estimates = estimates.put(service, change(estimatesOf(service)))
    }

    fun estimatesOf(service: String): ServiceEstimates = estimates[service] ?: ServiceEstimates()

    /** Returns [demand] as one of the service where its stream has begun, if it has. */
    fun withOrigin(demand: Demand, origin: StreamOrigin): Demand {
        val service = (origin as? StreamOrigin.BegunAt)?.service ?: demand.service
        return demand.copy(origin = origin, service = service, engine = config?.services?.get(service)?.engine)
    }

    /** True if an upstream that may serve [demand], and opens in its time, is not in [tried]. */
    fun hasUntriedUpstream(demand: Demand, tried: Set<String>, nowMs: Long): Boolean {
        val untried = candidates(demand).filter { it.id !in tried && it.stage != EngineStage.PREFILL }
        val opensInMs = availability.opensInMs(untried, waitingRequests.of(demand.service), nowMs) ?: 0
        return untried.isNotEmpty() && nowMs + opensInMs < demand.deadlineAtMs
    }

    /** The Retry-After time of a request that was refused with [placement]. */
    fun retryAfterMs(demand: Demand, placement: Placement, nowMs: Long): Long {
        val remainingMs = demand.deadlineAtMs - nowMs
        val admissibleInMs =
            when (placement) {
                is Placement.NoCapacity -> placement.admissibleInMs
                is Placement.AllClosed -> placement.opensInMs.toDouble()
                else -> RETRY_WITHOUT_UPSTREAM_MS
            }
        return retryAfterPolicy.retryAfterMs(remainingMs, admissibleInMs)
    }

    /** The Retry-After time of a request that the upstreams themselves refused or that did not reach one. */
    fun busyRetryAfterMs(demand: Demand): Long {
        val nowMs = nowMs()
        val opensInMs = opensInMs(demand, candidates(demand), emptySet(), nowMs) ?: 0
        return retryAfterMs(demand, Placement.NoCapacity(maxOf(FULL_QUEUE_DRAIN_MS, opensInMs.toDouble())), nowMs)
    }

    /** Applies [change] to the load of the upstream with [incarnation]. */
    fun updateLoad(incarnation: Incarnation, slots: Int, change: (UpstreamLoad) -> UpstreamLoad) {
        loads = loads.put(incarnation, change(loads[incarnation] ?: UpstreamLoad(slots)))
    }

    /** Ids of the upstreams of [demand]'s service that serve prefill only. */
    fun prefillUpstreamIds(demand: Demand): List<String> =
        registry.serving(demand.service).filter { it.stage == EngineStage.PREFILL }.map { it.id }

    /** Counts a request of [demand]'s workspace that has begun to run. */
    fun countRun(demand: Demand) {
        val workspace = demand.workspace ?: return
        usage = usage.counted(workspace, nowMs())
    }

    /** Replaces the usage windows, after old ones were published or the offset of their clock was set. */
    fun updateUsage(change: (UsageWindows) -> UsageWindows) {
        usage = change(usage)
    }

    /** Closes the idle connections to [upstreamId], which does not answer or whose address another has now. */
    fun closeIdleConnections(upstreamId: String) {
        registry.find(upstreamId)?.let { pool.closeIdle(it.incarnation) }
    }

    /** Logs a request that has ended after [possibleRuns] runs, and no longer counts it as in flight. */
    fun finished(record: ExchangeRecord, outcome: Outcome, possibleRuns: Int) {
        inFlight--
        val runs = if (record.isOrphaned) maxOf(1, possibleRuns) else possibleRuns
        record.demand?.let { allowances.settle(it, runs) }
        log.finished(record, outcome, config?.version, configFreshness.confirmedAtMs, nowMs())
    }

    private fun dropUnregistered() {
        val known = registry.all().map(Upstream::incarnation).toSet()
        availability.prune(known)
        pool.prune(known)
        val removed = loads.keys.filter { it !in known }
        if (removed.isNotEmpty()) loads = removed.fold(loads) { kept, incarnation -> kept.remove(incarnation) }
    }

    private companion object {
        const val RETRY_WITHOUT_UPSTREAM_MS = 300.0

        /** About the time in which the full queue of an upstream has room again. */
        const val FULL_QUEUE_DRAIN_MS = 150.0
    }
}
