package org.medlarhook.serving.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.nio.NioEventLoopGroup
import org.medlarhook.core.serving.fair.ToldCounts
import org.medlarhook.core.serving.load.LoopObservation
import org.medlarhook.core.serving.shutdown.ShutdownWindow
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.CountingAsyncAppender
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.thread.StepFailures
import org.medlarhook.serving.allowance.AllowancePeers
import org.medlarhook.serving.call.CallFormat
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.ServingLoop
import org.medlarhook.serving.duty.LoopUsage
import org.medlarhook.serving.duty.ReportedPeer
import org.medlarhook.serving.duty.StoreClock
import org.medlarhook.serving.duty.UsageReporter
import org.medlarhook.serving.duty.WindowReporting
import org.medlarhook.serving.fair.FairAdmissionLog
import org.medlarhook.serving.fair.FairPlacer
import org.medlarhook.serving.http.CallerConnections
import org.medlarhook.serving.http.CallerListener
import org.medlarhook.serving.peer.DatagramPeers
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private val logger = KotlinLogging.logger {}

/** The adapters through which a [ServingProcess] uses the platform and the clock. */
public class ServingPorts(
    public val format: CallFormat,
    public val store: ControlStore,
    public val era: StoreEra,
    public val tables: TableService,
    public val clock: StoreClock,
    public val reporting: WindowReporting,
    public val time: TimeSource,
    public val samples: SampleTraffic,
)

/** A process that serves callers: starts its components and stops them in order. */
public class ServingProcess(
    private val settings: ServingSettings,
    private val ports: ServingPorts,
) {
    private val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val group = NioEventLoopGroup(1)
    private val time = ports.time
    private val placer =
        FairPlacer(settings.placer(), settings.fairAdmission, FairAdmissionLog(meters)) { serving.sharesMachines(it) }
    private val serving: ServingLoop =
        ServingLoop(group.next(), ports.format, time, settings.bounds, placer, RequestLog(meters))
            .also { it.secondAttempts.share = settings.secondAttemptShare }
    private val callerConnections = CallerConnections(serving)
    private val callers = CallerListener(group, serving, callerConnections)
    private val peers = settings.peer?.let {
        DatagramPeers(
            serving.loop,
            it,
            serving.origins,
            time,
            serving::limitReported,
            serving.crashes,
            serving.allowances,
        )
    }
    private val feeds = Feeds(ports.store, ports.era, serving, time)
    private val usageReporter =
        UsageReporter(
            settings.process,
            LoopUsage(serving, ReportedPeer({ peers?.boundAddress }) { addresses -> peers?.update(addresses) }) {
                placer.told = ToldCounts.of(it, settings.process, settings.bounds.usageWindowMs, serving.nowMs())
            },
            ports.tables,
            ports.clock,
            ports.reporting,
            settings.bounds,
            time,
            ports.era,
        )
    private val status = StatusListener(settings, meters, { isReady }, { dumpState() })
    private val stopped = CountDownLatch(1)

    /** The event loop drops periodic work that throws. */
    private val tickFailures = StepFailures("tick")

    @Volatile
    private var isReady = false

    /** The bounds in force, of the start or of the last reload. */
    @Volatile
    private var bounds = settings.bounds

    /** Starts the process and blocks until it has stopped after a shutdown signal. */
    public fun run() {
        Runtime.getRuntime().addShutdownHook(Thread({ stop() }, "shutdown"))
        start()
        stopped.await()
    }

    /**
     * Starts to follow the store and opens the listeners, that of callers last: any other work of the start would delay
     * their first requests on a VM that has only a fraction of a core.
     */
    public fun start() {
        serving.loop.execute { serving.allowances.join(settings.process, peers ?: AllowancePeers { }) }
        feeds.start()
        peers?.let {
            it.open()
            serving.loop.execute {
                serving.origins.peers = it
                serving.availability.peers = it
                serving.crashes.peers = it
            }
        }
        status.start()
        awaitInitialState()
        warmUp()
        callers.open(settings.callers)
        serving.loop.scheduleAtFixedRate({
            tickFailures.runCatching { tick() }
        }, LoopObservation.PERIOD_MS, LoopObservation.PERIOD_MS, TimeUnit.MILLISECONDS)
        serving.loop.schedule({ startBackground() }, BACKGROUND_DELAY_MS, TimeUnit.MILLISECONDS)
        Gauge.builder("medlarhook.requests.in.flight") { serving.requestsInFlight }.register(meters)
        Gauge.builder("medlarhook.callers.connections") { callerConnections.openConnections }.register(meters)
        Gauge.builder("medlarhook.upstreams.connections") { serving.pool.openConnections }.register(meters)
        Gauge.builder("medlarhook.retries.processes") { serving.retryBudgets.processCount ?: 0 }.register(meters)
        FunctionCounter
            .builder("medlarhook.log.lines.dropped", this) { CountingAsyncAppender.droppedLines.toDouble() }
            .register(meters)
        logger.event(LogEvent.PROCESS_STARTED, "process" to settings.process, "callers" to settings.callers)
    }

    private fun startBackground() {
        peers?.let { thread(name = "load-messages", isDaemon = true) { it.loadSerializers() } }
        usageReporter.start()
    }

    /** Waits up to [INITIAL_STATE_TIMEOUT_MS] for the configuration and the registrations. */
    private fun awaitInitialState() {
        val timeoutAtMs = time.monotonicMs() + INITIAL_STATE_TIMEOUT_MS
        while (time.monotonicMs() < timeoutAtMs && !hasInitialState()) Thread.sleep(INITIAL_STATE_POLL_MS)
    }

    private fun hasInitialState(): Boolean =
        serving.loop.submit<Boolean> { serving.config != null && serving.registry.all().isNotEmpty() }.get()

    private fun warmUp() {
        val startedAtMs = time.monotonicMs()
        val served =
            runCatching { WarmUp(group, ports.format, time, settings, ports.samples).run() }
                .onFailure { logger.warnEvent(LogEvent.WARM_UP_FAILED, "cause" to it.toString()) }
                .getOrDefault(0)
        logger.event(LogEvent.WARMED_UP, "requests" to served, "tookMs" to time.monotonicMs() - startedAtMs)
    }

    private fun tick() {
        serving.tick()
        isReady = !callerConnections.isStopping && serving.config != null && serving.registry.all().isNotEmpty()
        if (callerConnections.isStopping) callerConnections.closeIdle()
    }

    /**
     * Puts the bounds of changed settings in force. Changed addresses, and bounds of the usage reports and their lease,
     * apply from the next start.
     */
    public fun reload(newer: ServingSettings) {
        bounds = newer.bounds
        serving.loop.execute { serving.updateBounds(newer.bounds) }
        logger.event(
            LogEvent.SETTINGS_RELOADED,
            "bounds" to newer.bounds.toString(),
            "restartNeeded" to needsRestart(newer),
        )
    }

    private fun needsRestart(newer: ServingSettings): Boolean =
        newer.callers != settings.callers ||
            newer.status != settings.status ||
            newer.bounds.usage != settings.bounds.usage

    /** The bounds that the usage reporter reads at its start only. */
    private val ServingBounds.usage: List<Long> get() = listOf(usageWindowMs, usageLateMs, leaseMs)

    /**
     * Stops gracefully: reports that it is not ready, serves new requests until the balancer has noticed, then closes
     * the listener and ends when no request runs. If too few processes are left, the balancer sends callers here until
     * the listener is closed. Requests that still run at the end are cut off before the last calls to the store, which
     * may take longer than the time that is left until the process is killed.
     */
    public fun stop() {
        val startedAtMs = time.monotonicMs()
        val shutdownMs = bounds.shutdownMs
        val endAtMs = startedAtMs + shutdownMs
        val listenerOpenMs = minOf(BALANCER_REMOVAL_MS, shutdownMs)
        logger.event(
            LogEvent.DRAIN_STARTED,
            "inFlight" to serving.requestsInFlight,
            "listenerClosesInMs" to listenerOpenMs,
            "endsInMs" to shutdownMs,
        )
        isReady = false
        serving.loop.execute { serving.beginShutdown(ShutdownWindow(startedAtMs, endAtMs)) }
        thread(name = "hand-back", isDaemon = true) { usageReporter.releaseLease() }
        Thread.sleep((startedAtMs + listenerOpenMs - time.monotonicMs()).coerceAtLeast(0))
        callers.close()
        while (time.monotonicMs() < endAtMs && hasOpenWork()) Thread.sleep(POLL_MS)
        val inFlightAtEnd = serving.requestsInFlight
        serving.loop.submit { callerConnections.cutOff() }.await()
        feeds.stop()
        usageReporter.finish(endAtMs)
        logger.event(LogEvent.PROCESS_STOPPED, "inFlight" to inFlightAtEnd)
        group.shutdownGracefully(0, EVENT_LOOP_SHUTDOWN_MS, TimeUnit.MILLISECONDS)
        status.stop()
        stopped.countDown()
    }

    /** True while requests run, or while connections are open on which one may be arriving. */
    private fun hasOpenWork(): Boolean =
        serving.requestsInFlight > 0 || serving.loop.submit<Int> { callerConnections.openConnections }.get() > 0

    private fun dumpState(): String =
        serving.loop.submit<String> { ServingStateDump.of(serving, callerConnections) }.get()

    private companion object {
        /** A slow store answers within this; then callers are accepted, and refused until there is a configuration. */
        const val INITIAL_STATE_TIMEOUT_MS = 1_500L
        const val INITIAL_STATE_POLL_MS = 10L

        /** The first steps of this work run uncompiled code too, and may wait until callers are served. */
        const val BACKGROUND_DELAY_MS = 1_000L

        /** The balancer removes the process after two failed readiness checks, which are a second apart. */
        const val BALANCER_REMOVAL_MS = 3_500L
        const val POLL_MS = 50L
        const val EVENT_LOOP_SHUTDOWN_MS = 200L
    }
}
