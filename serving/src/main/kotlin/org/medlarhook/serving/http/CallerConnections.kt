package org.medlarhook.serving.http

import io.github.oshai.kotlinlogging.KotlinLogging
import org.medlarhook.core.serving.config.CallerLimits
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent
import org.medlarhook.serving.call.ServingLoop
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** Tracks the open connections of callers and whether the process is stopping. Used on the event loop only. */
internal class CallerConnections(
    private val serving: ServingLoop,
) {
    private val connections = LinkedHashSet<CallerConnection>()

    /** True from the beginning of a graceful shutdown: each answer closes its connection. */
    val isStopping: Boolean get() = serving.shutdown != null

    val openConnections: Int get() = connections.size

    fun opened(connection: CallerConnection) {
        connections += connection
    }

    fun closed(connection: CallerConnection) {
        connections -= connection
    }

    /** Closes the connections without a request, each after its pending output. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }

    /**
     * Ends the requests that still run when a graceful shutdown is over, each with its final answer. An error on one
     * connection resets it, and the others still end.
     */
    fun cutOff() {
        connections.toList().forEach { connection ->
            runCatching { connection.cutOff() }.onFailure { cause ->
                logFailure(cause)
                runCatching { connection.abort() }.onFailure { logFailure(it) }
            }
        }
    }

    /** The limits of the current configuration. */
    fun limits(): CallerLimits = serving.config?.limits ?: DEFAULT_LIMITS

    /** Logs an error on a connection; I/O errors are not logged. */
    fun failed(cause: Throwable) {
        if (cause !is IOException) logFailure(cause)
    }

    private fun logFailure(cause: Throwable) =
        logger.warnEvent(LogEvent.CONNECTION_FAILED, "cause" to cause.toString())

    companion object {
        /** The platform's usual limits, used until a configuration has been read. */
        val DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)
    }
}
