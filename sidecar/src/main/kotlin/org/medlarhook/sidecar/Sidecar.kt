package org.medlarhook.sidecar

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.attempt.AttemptDispatcher
import org.medlarhook.core.attempt.AttemptLimits
import org.medlarhook.core.attempt.AttemptScheduler
import org.medlarhook.core.attempt.AttemptTable
import org.medlarhook.core.attempt.SharedDispatcher
import org.medlarhook.core.attempt.SpeedEstimate
import org.medlarhook.core.fairness.FairQueue
import org.medlarhook.core.order.OrderKey
import org.medlarhook.platform.SystemTimeSource
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttp
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.sidecar.attempt.AttemptRunner
import org.medlarhook.sidecar.control.IntakeGate
import org.medlarhook.sidecar.control.OrderLoop
import org.medlarhook.sidecar.control.OrderedEngine
import org.medlarhook.sidecar.engine.HttpEngineAdapter
import org.medlarhook.sidecar.engine.HttpEngineControl
import org.medlarhook.sidecar.health.HealthMonitor
import org.medlarhook.sidecar.lifecycle.GracefulStop
import org.medlarhook.sidecar.lifecycle.Workers
import org.medlarhook.sidecar.operators.SidecarDump
import org.medlarhook.sidecar.operators.SidecarMetrics
import org.medlarhook.sidecar.receipt.BoundedReceiptLog
import org.medlarhook.sidecar.registration.RegistrationLoop
import org.medlarhook.sidecar.registration.SidecarRegistrar
import org.medlarhook.sidecar.rpc.RpcServer
import org.medlarhook.sidecar.rpc.SidecarRpc
import org.medlarhook.sidecar.service.ServiceAdapter
import org.medlarhook.sidecar.status.StatusHub
import org.medlarhook.sidecar.status.UpstreamState
import java.io.IOException
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One sidecar process: the only door to its upstream. */
public class Sidecar(
    private val settings: SidecarSettings,
) {
    private val time = SystemTimeSource
    private val limits = settings.limits
    private val slots = settings.engine?.slots ?: settings.service?.concurrentCalls ?: 1
    private val tables = HttpTableService(PlatformHttp(settings.platform.url, settings.platform.callTimeoutMs))
    private val timer = Workers.timer()
    private val workers = Workers.pool(slots)

    @Volatile
    private var serving: Serving? = null
    private val state = UpstreamState(settings) { serving?.dispatcher?.load }
    private val hub = StatusHub(state::toMessage)
    private val operators =
        OperatorsListener(
            settings.operators,
            time,
            { state.isAccepting },
            mapOf("sidecar" to SidecarDump(state) { serving }),
        )
    private val metrics = SidecarMetrics(operators.registry)
    private val rpc =
        SidecarRpc(
            serving = { serving },
            hub = hub,
            engine = settings.engine?.let { HttpEngineAdapter(it, time) },
            service = settings.service?.let { ServiceAdapter(it, time) },
            metrics = metrics,
            time = time,
        )
    private val server = RpcServer.build(settings.entries, rpc)

    /** Binds the port, registers, and serves until the process is stopped. */
    public fun run() {
        if (!bind()) Runtime.getRuntime().halt(EXIT_START_FAILED)
        operators.start()
        Runtime.getRuntime().addShutdownHook(Thread(::stop, "shutdown"))
        logger.event(LogEvent.PROCESS_STARTED, "role" to "sidecar", "upstream" to settings.upstreamId)
        val registration = RegistrationLoop(SidecarRegistrar(settings, tables), { state.isDraining }).run()
        if (registration != null) serve(registration.incarnation)
        server.awaitTermination()
    }

    /** The bound port is the proof that no other sidecar of this upstream runs on the VM. */
    private fun bind(): Boolean =
        try {
            server.start()
            true
        } catch (e: IOException) {
            logger.warnEvent(LogEvent.START_FAILED, "port" to settings.entries.port, "cause" to e.message)
            false
        }

    private fun serve(incarnation: Long) {
        val present = newServing(incarnation)
        present.runner.setAvailable(false)
        serving = present
        state.incarnation = incarnation
        metrics.watchLoad { present.dispatcher.load }
        logger.event(LogEvent.SIDECAR_REGISTERED, "incarnation" to incarnation)
        HealthMonitor(backendUrl(), limits, timer, ::onHealthChange).start()
        present.orders.start()
        timer.scheduleWithFixedDelay(hub::publish, 0, limits.heartbeatMs, TimeUnit.MILLISECONDS)
    }

    private fun newServing(incarnation: Long): Serving {
        val scheduler = AttemptScheduler(slots, FairQueue(limits.maxQueued), initialSpeeds())
        val table = AttemptTable<ServiceAnswer>(incarnation, AttemptLimits())
        val dispatcher = SharedDispatcher(AttemptDispatcher(table, scheduler))
        val receipts = BoundedReceiptLog(settings.upstreamId, incarnation, limits.maxReceipts)
        val runner = AttemptRunner(dispatcher, workers, timer, time, metrics)
        val orders = newOrders(incarnation, runner) { dispatcher.load.running }
        return Serving(incarnation, dispatcher, runner, receipts, orders)
    }

    private fun newOrders(incarnation: Long, runner: AttemptRunner, running: () -> Int): OrderLoop {
        val key = OrderKey(settings.dataCentre, settings.upstreamId)
        val door = settings.engine?.let { HttpEngineControl(it.url, it.connectTimeoutMs) }
        val gate = IntakeGate(state, runner::setAvailable, running, hub, time)
        return OrderLoop(key, incarnation, tables, OrderedEngine(door, gate, state, hub), time)
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
        serving?.runner?.setAvailable(isHealthy && !state.isClosedByOrder)
        hub.publish()
    }

    /** The exit status is 0 also after a signal, as the stop was planned. */
    private fun stop() {
        GracefulStop(state, hub, limits, time).run(serving)
        server.shutdown().awaitTermination(CLOSE_LIMIT_MS, TimeUnit.MILLISECONDS)
        operators.stop()
        logger.event(LogEvent.PROCESS_STOPPED)
        Runtime.getRuntime().halt(0)
    }

    private companion object {
        const val EXIT_START_FAILED = 1
        const val CLOSE_LIMIT_MS = 2_000L
        const val MS_PER_S = 1_000.0
    }
}
