package org.medlarhook.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.entry.control.ControlPlane
import org.medlarhook.entry.control.ControlPlatform
import org.medlarhook.entry.directory.DirectoryService
import org.medlarhook.entry.operators.ConfigService
import org.medlarhook.entry.operators.FrozenUsageWindows
import org.medlarhook.entry.operators.LatestDirectory
import org.medlarhook.entry.operators.OperatorsRoutes
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.platform.HttpPlatform
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttpClient
import org.medlarhook.runtime.settings.EntrySettings
import org.medlarhook.runtime.traffic.ControlTraffic
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One entry process: accepts requests from callers, forwards them to upstreams, and runs the control loops. */
public class Entry(
    private val settings: EntrySettings,
) {
    private val time = SystemTimeSource
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val traffic = ControlTraffic(registry)
    private val platformClient =
        PlatformHttpClient(settings.platform.url, settings.platform.callTimeoutMs, traffic.httpListener)
    private val tables = HttpTableService(platformClient)
    private val platformServices = HttpPlatform(platformClient)
    private val reader = DirectoryReader(tables, platformServices)
    private val directory =
        DirectoryService(settings, tables, platformServices, platformServices, time, traffic) {
            control.accept(it).getOrNull()
        }
    private val control: ControlPlane =
        ControlPlane(
            entryId = directory.entryId,
            dataCentre = settings.dataCentre,
            platform = ControlPlatform(tables, ordering = platformServices, reporting = platformServices),
            time = time,
            traffic = traffic,
        )
    private val scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS)
    private val pipeline: RequestPipeline =
        RequestPipeline(
            settings = settings,
            tables = tables,
            objects = platformServices,
            directory = directory.view,
            time = time,
            scheduler = scheduler,
            registry = { registry },
            traffic = traffic,
            addReceiptCopy = control::addReceiptCopy,
        )
    private val operators: OperatorsListener =
        OperatorsListener(
            address = settings.operators,
            time = time,
            isReady = { pipeline.drainState.isReady },
            dumps = dumps(),
            registry = registry,
            routes = operatorsRoutes()::register,
        )

    /** Opens the listeners and starts the periodic tasks. They run until the process is stopped. */
    public fun run() {
        directory.start()
        operators.start()
        pipeline.start(::every)
        control.start()
        Runtime.getRuntime().addShutdownHook(Thread(::stop))
        logger.event(LogEvent.PROCESS_STARTED, "role" to "entry", "entry" to settings.entryId)
    }

    private fun stop() {
        logger.event(LogEvent.DRAIN_STARTED, "open" to pipeline.openRequests.count)
        val isFinished = pipeline.stop()
        control.stop()
        directory.stop()
        scheduler.shutdownNow()
        operators.stop()
        logger.event(LogEvent.PROCESS_STOPPED, "finished" to isFinished, "open" to pipeline.openRequests.count)
        Runtime.getRuntime().halt(if (isFinished) 0 else EXIT_UNFINISHED)
    }

    private fun every(intervalMs: Long, task: () -> Unit) {
        scheduler.scheduleWithFixedDelay(loggingFailures(task), 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    /** Logs an exception of [task]: an executor would cancel the later runs of a periodic task that throws. */
    private fun loggingFailures(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "a periodic task failed; it runs again after its interval" }
            }
        }

    private fun operatorsRoutes(): OperatorsRoutes {
        val config = ConfigService(DirectoryLog(tables), LatestDirectory(reader), directory.appender)
        val upstreams = StateDump { nowMs -> pipeline.dumps().getValue("upstreams").dump(nowMs) }
        return OperatorsRoutes(config, directory.inForceCheck, time, upstreams, FrozenUsageWindows(tables))
    }

    private fun dumps(): Map<String, StateDump> =
        mapOf("directory" to directory.dump, "control" to control.dump()) + pipeline.dumps()

    private companion object {
        const val SCHEDULER_THREADS = 4
        const val EXIT_UNFINISHED = 1
    }
}
