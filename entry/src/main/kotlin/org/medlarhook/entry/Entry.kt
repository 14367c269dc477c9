package org.medlarhook.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.entry.directory.DirectoryService
import org.medlarhook.entry.http.CallersListener
import org.medlarhook.entry.http.ChatHandler
import org.medlarhook.entry.http.ServiceHandler
import org.medlarhook.entry.operators.ConfigService
import org.medlarhook.entry.operators.CurrentDirectory
import org.medlarhook.entry.operators.OperatorsRoutes
import org.medlarhook.entry.routing.LeastOutstandingChooser
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.platform.SystemTimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.platform.HttpPlatform
import org.medlarhook.runtime.platform.HttpTableService
import org.medlarhook.runtime.platform.PlatformHttp
import org.medlarhook.runtime.settings.EntrySettings
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** One entry process. */
public class Entry(
    private val settings: EntrySettings,
) {
    private val platform = PlatformHttp(settings.platform.url, settings.platform.callTimeoutMs)
    private val tables = HttpTableService(platform)
    private val objects = HttpPlatform(platform)
    private val reader = DirectoryReader(tables, objects)
    private val directoryService =
        DirectoryService(settings, tables, objects, objects, SystemTimeSource)
    private val directory = directoryService.view
    private val pool = UpstreamPool(tables)
    private val scheduler = Executors.newScheduledThreadPool(2)

    /** Opens the listeners and follows the tables until the process is stopped. */
    public fun run() {
        directoryService.start()
        scheduler.scheduleWithFixedDelay({ pool.poll() }, 0, POLL_MS, TimeUnit.MILLISECONDS)
        val chat = ChatHandler(directory, pool, LeastOutstandingChooser)
        val services = ServiceHandler(pool, LeastOutstandingChooser)
        val callers = CallersListener(settings, SystemTimeSource, directory, chat, services)
        val operators =
            OperatorsListener(
                address = settings.operators,
                time = SystemTimeSource,
                isReady = { directoryService.isReady },
                dumps = dumps(),
                routes = operatorsRoutes()::register,
            )
        operators.start()
        callers.start()
        logger.event(LogEvent.PROCESS_STARTED, "role" to "entry", "entry" to settings.entryId)
    }

    private fun operatorsRoutes(): OperatorsRoutes {
        val config = ConfigService(DirectoryLog(tables), CurrentDirectory(reader), directoryService.appender)
        return OperatorsRoutes(config, directoryService.inForce, SystemTimeSource)
    }

    private fun dumps(): Map<String, StateDump> =
        mapOf("directory" to directoryService.dump)

    private companion object {
        const val POLL_MS = 1_000L
    }
}
