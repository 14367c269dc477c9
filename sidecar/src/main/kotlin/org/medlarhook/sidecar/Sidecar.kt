package org.medlarhook.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.medlarhook.core.attempt.AttemptDispatcher
import org.medlarhook.core.attempt.AttemptScheduler
import org.medlarhook.core.attempt.AttemptTable
import org.medlarhook.core.attempt.AttemptTableLimits
import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.core.attempt.SpeedEstimate
import org.medlarhook.core.fairness.FairQueue
import org.medlarhook.core.order.OrderKey
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttpClient
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.runtime.traffic.ControlTraffic
import org.medlarhook.sidecar.attempt.AttemptRunner
import org.medlarhook.sidecar.control.IntakeGate
import org.medlarhook.sidecar.control.OrderExecutor
import org.medlarhook.sidecar.control.OrderLoop
import org.medlarhook.sidecar.engine.HttpEngineAdapter
import org.medlarhook.sidecar.engine.HttpEngineOrderClient
import org.medlarhook.sidecar.engine.SilenceWatchdog
import org.medlarhook.sidecar.health.HealthMonitor
import org.medlarhook.sidecar.lifecycle.GracefulStop
import org.medlarhook.sidecar.lifecycle.Workers
import org.medlarhook.sidecar.operators.SidecarDump
import org.medlarhook.sidecar.operators.SidecarMetrics
import org.medlarhook.sidecar.receipt.BoundedReceiptLog
import org.medlarhook.sidecar.registration.IncarnationRenewal
import org.medlarhook.sidecar.registration.RegistrationLoop
import org.medlarhook.sidecar.registration.SidecarRegistrar
import org.medlarhook.sidecar.rpc.RpcServer
import org.medlarhook.sidecar.rpc.SidecarRpc
import org.medlarhook.sidecar.service.ServiceAdapter
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState
import java.io.IOException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One sidecar process. Entries reach its upstream only through it. */
public class Sidecar(
    private val settings: SidecarSettings,
) {
    private val time = SystemTimeSource
    private val limits = settings.limits
    private val slots = settings.engine?.slots ?: settings.service?.concurrentCalls ?: 1
    private val timer = Workers.timer()
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val traffic = ControlTraffic(registry)
    private val platform =
        PlatformHttpClient(settings.platform.url, settings.platform.callTimeoutMs, traffic.httpListener)
    private val tables = HttpTableService(platform)
    private val workers = Workers.pool(slots)

    @Volatile
    private var context: IncarnationContext? = null
    private val state = UpstreamState(settings) { context?.dispatcher?.load }
    private val publisher = StatusPublisher(state::toMessage)
    private val operators =
        OperatorsListener(
            settings.operators,
            time,
            { state.isAccepting },
            mapOf("sidecar" to SidecarDump(state) { context }),
            registry,
        )
    private val metrics = SidecarMetrics(registry)
    private val orders = newOrderLoop()
    private val rpc =
        SidecarRpc(
            context = { context },
            orders = orders,
            publisher = publisher,
            engine = settings.engine?.let { HttpEngineAdapter(it, SilenceWatchdog(timer), time) },
            service = settings.service?.let { ServiceAdapter(it, time) },
            metrics = metrics,
            time = time,
        )
    private val server = RpcServer.build(settings.entries, rpc, traffic.serverTracer)

    /** Binds the port, registers the upstream, and serves until the process is stopped. */
    public fun run() {
        if (!bind()) Runtime.getRuntime().halt(EXIT_START_FAILED)
        operators.start()
        Runtime.getRuntime().addShutdownHook(Thread(::stop, "shutdown"))
        logger.event(LogEvent.PROCESS_STARTED, "role" to "sidecar", "upstream" to settings.upstreamId)
        register()?.let { serve(it) }
        server.awaitTermination()
    }

    /** Binds the port for entries. This also excludes a second sidecar of the same upstream on the VM. */
    private fun bind(): Boolean =
        try {
            server.start()
            true
        } catch (e: IOException) {
            logger.warnEvent(LogEvent.START_FAILED, "port" to settings.entries.port, "cause" to e.message)
            false
        }

    /** Registers under the next incarnation and reads the order row; null if the process stops first. */
    private fun register(): Long? {
        val loop = RegistrationLoop(SidecarRegistrar(settings, tables), { state.isDraining })
        val incarnation = loop.run()?.incarnation ?: return null
        orders.awaitRestored()
        return incarnation
    }

    private fun serve(incarnation: Long) {
        val current = newContext(incarnation)
        current.runner.setAvailable(false)
        context = current
        state.incarnation = incarnation
        metrics.registerLoadGauges { current.dispatcher.load }
        logger.event(LogEvent.SIDECAR_REGISTERED, "incarnation" to incarnation)
        HealthMonitor(backendUrl(), limits, timer, ::onHealthChange).start()
        timer.scheduleWithFixedDelay(publisher::publish, 0, limits.heartbeatMs, TimeUnit.MILLISECONDS)
        orders.start()
        IncarnationRenewal({ current.dispatcher.usedShare }, ::register, ::renew).start(timer)
    }

    /** Switches to [incarnation]. Attempts of the previous incarnation continue; new ones must name the new one. */
    private fun renew(incarnation: Long) {
        val current = context ?: return
        current.dispatcher.renew(incarnation)
        context = current.renewed(incarnation, newReceiptLog(incarnation))
        state.incarnation = incarnation
        logger.event(LogEvent.SIDECAR_REGISTERED, "incarnation" to incarnation)
        publisher.publish()
    }

    private fun newReceiptLog(incarnation: Long) =
        BoundedReceiptLog(settings.upstreamId, incarnation, limits.maxReceipts)

    private fun newContext(incarnation: Long): IncarnationContext {
        val scheduler = AttemptScheduler(slots, FairQueue(limits.maxQueued), initialSpeeds())
        val table =
            AttemptTable<ServiceAnswer>(incarnation, AttemptTableLimits(maxFilterEntries = limits.maxForgottenAttempts))
        val dispatcher = SharedDispatcher(AttemptDispatcher(table, scheduler))
        val runner = AttemptRunner(dispatcher, workers, timer, time, metrics)
        return IncarnationContext(incarnation, dispatcher, runner, newReceiptLog(incarnation))
    }

    private fun newOrderLoop(): OrderLoop {
        val key = OrderKey(settings.dataCentre, settings.upstreamId)
        val engineOrders = settings.engine?.let { HttpEngineOrderClient(it.url, it.connectTimeoutMs) }
        val gate =
            IntakeGate(
                state = state,
                setAvailable = { context?.runner?.setAvailable(it) },
                runningAttempts = { context?.dispatcher?.load?.running ?: 0 },
                publisher = publisher,
                time = time,
            )
        return OrderLoop(key, { state.incarnation }, tables, OrderExecutor(engineOrders, gate, state, publisher), time)
    }

    private fun initialSpeeds(): SpeedEstimate {
        val engine = settings.engine
        if (engine != null) return SpeedEstimate(engine.prefillTokensPerS, engine.decodeTokensPerS)
        val callsPerS = MS_PER_S / (settings.service?.expectedCallMs ?: 1)
        return SpeedEstimate(initialPrefillTokensPerS = 1.0, initialDecodeTokensPerS = callsPerS)
    }

    private fun backendUrl(): String = settings.engine?.url ?: settings.service?.url.orEmpty()

    private fun onHealthChange(isHealthy: Boolean) {
        logger.event(if (isHealthy) LogEvent.UPSTREAM_ANSWERS else LogEvent.UPSTREAM_SILENT)
        state.isHealthy = isHealthy
        context?.runner?.setAvailable(isHealthy && !state.isClosedByOrder)
        publisher.publish()
    }

    /** Exits with status 0 also after a signal, because the stop is planned. */
    private fun stop() {
        GracefulStop(state, publisher, limits, time).run(context)
        server.shutdown().awaitTermination(SERVER_CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        operators.stop()
        logger.event(LogEvent.PROCESS_STOPPED)
        Runtime.getRuntime().halt(0)
    }

    private companion object {
        const val EXIT_START_FAILED = 1
        const val SERVER_CLOSE_TIMEOUT_MS = 2_000L
        const val MS_PER_S = 1_000.0
    }
}
