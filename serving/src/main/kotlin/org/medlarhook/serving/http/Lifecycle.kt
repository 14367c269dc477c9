package org.medlarhook.serving.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.serving.config.CallerLimits
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.ServingLoop
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** The callers' connections that are open, and whether the process is stopping. Used on the event loop only. */
internal class Lifecycle(
    private val serving: ServingLoop,
) {
    private val connections = LinkedHashSet<CallerConnection>()

    /** True from the beginning of a graceful shutdown: answers end their connections. */
    var isStopping = false

    val openConnections: Int get() = connections.size

    fun opened(connection: CallerConnection) {
        connections += connection
    }

    fun closed(connection: CallerConnection) {
        connections -= connection
    }

    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }

    fun limits(): CallerLimits = serving.config?.limits ?: DEFAULT_LIMITS

    fun failed(cause: Throwable) {
        if (cause is IOException) return
        logger.warnEvent(LogEvent.CONNECTION_FAILED, "cause" to cause.toString())
    }

    companion object {
        /** Until a configuration is known: the usual limits of the platform. */
        val DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}
