package org.medlarhook.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.directory.DirectoryLog
import org.medlarhook.core.directory.DirectoryReader
import org.medlarhook.entry.control.ControlPlane
import org.medlarhook.entry.control.ControlPlatform
import org.medlarhook.entry.directory.PolledDirectory
import org.medlarhook.entry.http.CallersListener
import org.medlarhook.entry.http.ChatHandler
import org.medlarhook.entry.http.ServiceHandler
import org.medlarhook.entry.operators.ConfigService
import org.medlarhook.entry.operators.CurrentDirectory
import org.medlarhook.entry.operators.InForceView
import org.medlarhook.entry.operators.OperatorsRoutes
import org.medlarhook.entry.routing.LeastOutstandingChooser
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.platform.SystemTimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.operators.api.InForceAnswer
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
    private val services = HttpPlatform(platform)
    private val reader = DirectoryReader(tables, services)
    private val control =
        ControlPlane(
            entryId = settings.entryId,
            dataCentre = settings.dataCentre,
            platform = ControlPlatform(tables, ordering = services, reporting = services),
            time = SystemTimeSource,
        )
    private val directory = PolledDirectory(reader)
    private val pool = UpstreamPool(tables)
    private val scheduler = Executors.newScheduledThreadPool(2)

    /** Opens the listeners and follows the tables until the process is stopped. */
    public fun run() {
        scheduler.scheduleWithFixedDelay({ directory.poll() }, 0, POLL_MS, TimeUnit.MILLISECONDS)
        scheduler.scheduleWithFixedDelay({ pool.poll() }, 0, POLL_MS, TimeUnit.MILLISECONDS)
        val chat = ChatHandler(directory, pool, LeastOutstandingChooser)
        val serviceCalls = ServiceHandler(pool, LeastOutstandingChooser)
        val callers = CallersListener(settings, SystemTimeSource, directory, chat, serviceCalls)
        val operators =
            OperatorsListener(
                address = settings.operators,
                time = SystemTimeSource,
                isReady = { directory.version > 0 },
                dumps = dumps(),
                routes = operatorsRoutes()::register,
            )
        operators.start()
        callers.start()
        control.start()
        Runtime.getRuntime().addShutdownHook(Thread(control::stop))
        logger.event(LogEvent.PROCESS_STARTED, "role" to "entry", "entry" to settings.entryId)
    }

    private fun operatorsRoutes(): OperatorsRoutes {
        val config = ConfigService(DirectoryLog(tables), CurrentDirectory(reader))
        val inForce = InForceView { version, _ -> InForceAnswer(version, directory.version >= version, emptyList()) }
        return OperatorsRoutes(config, inForce, SystemTimeSource)
    }

    private fun dumps(): Map<String, StateDump> =
        mapOf(
            "directory" to StateDump { JsonObject(mapOf("version" to JsonPrimitive(directory.version))) },
            "control" to control.dump(),
        )

    private companion object {
        const val POLL_MS = 1_000L
    }
}
