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
import org.medlarhook.entry.operators.CurrentDirectory
import org.medlarhook.entry.operators.OperatorsRoutes
import org.medlarhook.entry.operators.UsageWindows
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

/** One entry process. */
public class Entry(
    private val settings: EntrySettings,
) {
    private val time = SystemTimeSource
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val traffic = ControlTraffic(registry)
    private val platform =
        PlatformHttpClient(settings.platform.url, settings.platform.callTimeoutMs, traffic.httpListener)
    private val tables = HttpTableService(platform)
    private val objects = HttpPlatform(platform)
    private val reader = DirectoryReader(tables, objects)
    private val directory =
        DirectoryService(settings, tables, objects, objects, time, traffic) { control.accept(it).getOrNull() }
    private val control: ControlPlane =
        ControlPlane(
            entryId = directory.entryId,
            dataCentre = settings.dataCentre,
            platform = ControlPlatform(tables, ordering = objects, reporting = objects),
            time = time,
            traffic = traffic,
        )
    private val scheduler = Executors.newScheduledThreadPool(SCHEDULER_THREADS)
    private val requests: RequestPath =
        RequestPath(
            settings = settings,
            tables = tables,
            objects = objects,
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
            isReady = { requests.gate.isReady },
            dumps = dumps(),
            registry = registry,
            routes = operatorsRoutes()::register,
        )

    /** Opens the listeners and follows the tables until the process is stopped. */
    public fun run() {
        directory.start()
        operators.start()
        requests.start(::every)
        control.start()
        Runtime.getRuntime().addShutdownHook(Thread(::stop))
        logger.event(LogEvent.PROCESS_STARTED, "role" to "entry", "entry" to settings.entryId)
    }

    private fun stop() {
        logger.event(LogEvent.DRAIN_STARTED, "open" to requests.openRequests.count)
        val isFinished = requests.stop()
        control.stop()
        directory.stop()
        scheduler.shutdownNow()
        operators.stop()
        logger.event(LogEvent.PROCESS_STOPPED, "finished" to isFinished, "open" to requests.openRequests.count)
        Runtime.getRuntime().halt(if (isFinished) 0 else EXIT_UNFINISHED)
    }

    private fun every(intervalMs: Long, task: () -> Unit) {
        scheduler.scheduleWithFixedDelay(guarded(task), 0, intervalMs, TimeUnit.MILLISECONDS)
    }

    /** A task that fails must not stop those that follow. */
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "a periodic task failed" }
            }
        }

    private fun operatorsRoutes(): OperatorsRoutes {
        val config = ConfigService(DirectoryLog(tables), CurrentDirectory(reader), directory.appender)
        val upstreams = StateDump { nowMs -> requests.dumps().getValue("upstreams").dump(nowMs) }
        return OperatorsRoutes(config, directory.inForce, time, upstreams, UsageWindows(tables))
    }

    private fun dumps(): Map<String, StateDump> =
        mapOf("directory" to directory.dump, "control" to control.dump()) + requests.dumps()

    private companion object {
        const val SCHEDULER_THREADS = 4
        const val EXIT_UNFINISHED = 1
    }
}
