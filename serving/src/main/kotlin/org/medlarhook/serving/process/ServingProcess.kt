package org.medlarhook.serving.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.netty.channel.nio.NioEventLoopGroup
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.CountingAsyncAppender
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.CallFormat
import org.medlarhook.serving.call.RequestLog
import org.medlarhook.serving.call.ServingLoop
import org.medlarhook.serving.duty.StoreClock
import org.medlarhook.serving.duty.UsageReporter
import org.medlarhook.serving.duty.WindowReporting
import org.medlarhook.serving.http.CallerListener
import org.medlarhook.serving.http.Lifecycle
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

private val logger = KotlinLogging.logger {}

/** What a [ServingProcess] meets of the outside world. */
public class ServingPorts(
    public val format: CallFormat,
    public val store: ControlStore,
    public val tables: TableService,
    public val clock: StoreClock,
    public val reporting: WindowReporting,
    public val time: TimeSource,
    public val samples: SampleTraffic,
)

/** One process that serves callers: starts its parts, and stops them in order. */
public class ServingProcess(
    private val settings: ServingSettings,
    private val ports: ServingPorts,
) {
    private val meters = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val group = NioEventLoopGroup(1)
    private val time = ports.time
    private val serving =
        ServingLoop(group.next(), ports.format, time, settings.bounds, settings.placer(), RequestLog(meters))
    private val lifecycle = Lifecycle(serving)
    private val callers = CallerListener(group, serving, lifecycle)
    private val feeds = Feeds(ports.store, serving, time)
    private val duty =
        UsageReporter(
            settings.process,
            serving,
            ports.tables,
            ports.clock,
            ports.reporting,
            settings.bounds,
            time,
        )
    private val status = StatusListener(settings, meters, { isReady }, { dumpState() })
    private val stopped = CountDownLatch(1)

    @Volatile
    private var isReady = false

    /** Runs until the process is told to stop. */
    public fun run() {
        Runtime.getRuntime().addShutdownHook(Thread({ stop() }, "shutdown"))
        start()
        stopped.await()
    }

    /**
     * Begins to follow the store and opens the listeners, that of callers last: whatever else a start has to do would
     * hold their first requests up on a VM with a part of a core.
     */
    public fun start() {
        feeds.start()
        status.start()
        awaitKnowledge()
        warmUp()
        callers.open(settings.callers)
        serving.loop.scheduleAtFixedRate({ tick() }, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS)
        serving.loop.schedule({ duty.start() }, DUTY_DELAY_MS, TimeUnit.MILLISECONDS)
        Gauge.builder("medlarhook.requests.in.flight") { serving.requestsInFlight }.register(meters)
        Gauge.builder("medlarhook.callers.connections") { lifecycle.openConnections }.register(meters)
        Gauge.builder("medlarhook.upstreams.connections") { serving.pool.openConnections }.register(meters)
        FunctionCounter
            .builder("medlarhook.log.lines.dropped", this) { CountingAsyncAppender.droppedLines.toDouble() }
            .register(meters)
        logger.event(LogEvent.PROCESS_STARTED, "process" to settings.process, "callers" to settings.callers)
    }

    /** Waits for configuration and registrations, unless the store is away. */
    private fun awaitKnowledge() {
        val untilMs = time.monotonicMs() + KNOWLEDGE_MS
        while (time.monotonicMs() < untilMs && !isInformed()) Thread.sleep(KNOWLEDGE_POLL_MS)
    }

    private fun isInformed(): Boolean =
        serving.loop.submit<Boolean> { serving.config != null && serving.registry.all().isNotEmpty() }.get()

    private fun warmUp() {
        val begunAtMs = time.monotonicMs()
        val served =
            runCatching { WarmUp(group, ports.format, time, settings, ports.samples).run() }
                .onFailure { logger.warnEvent(LogEvent.WARM_UP_FAILED, "cause" to it.toString()) }
                .getOrDefault(0)
        logger.event(LogEvent.WARMED_UP, "requests" to served, "tookMs" to time.monotonicMs() - begunAtMs)
    }

    private fun tick() {
        serving.tick()
        isReady = !lifecycle.isStopping && serving.config != null && serving.registry.all().isNotEmpty()
        if (lifecycle.isStopping) lifecycle.closeIdle()
    }

    /** Puts the bounds of changed settings in force; addresses stay until the next start. */
    public fun reload(newer: ServingSettings) {
        serving.loop.execute { serving.updateBounds(newer.bounds) }
        logger.event(
            LogEvent.SETTINGS_RELOADED,
            "bounds" to newer.bounds.toString(),
            "restartNeeded" to (newer.callers != settings.callers || newer.status != settings.status),
        )
    }

    /**
     * Leaves the balancer, serves what still comes until that is known, then takes no more connections and ends when
     * nothing runs. Where too few processes are left, the balancer sends callers here until the listener is closed.
     */
    public fun stop() {
        val endAtMs = time.monotonicMs() + settings.bounds.shutdownMs
        val quietAtMs = time.monotonicMs() + LEAVE_BALANCER_MS
        logger.event(LogEvent.DRAIN_STARTED, "inFlight" to serving.requestsInFlight)
        isReady = false
        serving.loop.execute { lifecycle.isStopping = true }
        thread(name = "hand-back", isDaemon = true) { duty.handBack() }
        Thread.sleep((quietAtMs - time.monotonicMs()).coerceAtLeast(0))
        callers.close()
        while (time.monotonicMs() < endAtMs && isServing()) Thread.sleep(POLL_MS)
        feeds.stop()
        duty.finish(endAtMs)
        logger.event(LogEvent.PROCESS_STOPPED, "inFlight" to serving.requestsInFlight)
        group.shutdownGracefully(0, LOOP_END_MS, TimeUnit.MILLISECONDS)
        status.stop()
        stopped.countDown()
    }

    /** True while requests run, or connections are open on which one may be on its way. */
    private fun isServing(): Boolean =
        serving.requestsInFlight > 0 || serving.loop.submit<Int> { lifecycle.openConnections }.get() > 0

    private fun dumpState(): String = serving.loop.submit<String> { StateView.of(serving, lifecycle) }.get()

    private companion object {
        /** Registrations and idle connections are looked at this often. */
        const val TICK_MS = 100L

        /** A slow store answers within this; if it is away, callers are told so from then on. */
        const val KNOWLEDGE_MS = 1_500L
        const val KNOWLEDGE_POLL_MS = 10L

        /** The first steps of the duty run cold code too, and may wait until callers are served. */
        const val DUTY_DELAY_MS = 1_000L

        /** The balancer notices after two questions a second apart that the process is leaving. */
        const val LEAVE_BALANCER_MS = 3_500L
        const val POLL_MS = 50L
        const val LOOP_END_MS = 200L
    }
}
