package org.medlarhook.entry

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.entry.directory.PolledDirectory
import org.medlarhook.entry.http.CallersListener
import org.medlarhook.entry.http.ChatHandler
import org.medlarhook.entry.http.ServiceHandler
import org.medlarhook.entry.routing.LeastOutstandingChooser
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.platform.SystemTimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.event
import org.medlarhook.runtime.operators.OperatorsListener
import org.medlarhook.runtime.operators.StateDump
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
    private val tables = HttpTableService(PlatformHttp(settings.platform.url, settings.platform.callTimeoutMs))
    private val directory = PolledDirectory(tables)
    private val pool = UpstreamPool(tables)
    private val scheduler = Executors.newScheduledThreadPool(2)

    /** Opens the listeners and follows the tables until the process is stopped. */
    public fun run() {
        scheduler.scheduleWithFixedDelay({ directory.poll() }, 0, POLL_MS, TimeUnit.MILLISECONDS)
        scheduler.scheduleWithFixedDelay({ pool.poll() }, 0, POLL_MS, TimeUnit.MILLISECONDS)
        val chat = ChatHandler(directory, pool, LeastOutstandingChooser)
        val services = ServiceHandler(pool, LeastOutstandingChooser)
        val callers = CallersListener(settings, SystemTimeSource, directory, chat, services)
        val operators = OperatorsListener(settings.operators, SystemTimeSource, { directory.version > 0 }, dumps())
        operators.start()
        callers.start()
        logger.event(LogEvent.PROCESS_STARTED, "role" to "entry", "entry" to settings.entryId)
    }

    private fun dumps(): Map<String, StateDump> =
        mapOf("directory" to StateDump { JsonObject(mapOf("version" to JsonPrimitive(directory.version))) })

    private companion object {
        const val POLL_MS = 1_000L
    }
}
