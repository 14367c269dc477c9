package org.medlarhook.standins.service

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Stand-in of a service that takes bookings. Each `POST /bookings` is executed without deduplication. `GET /executions`
 * returns the number of executions per booking, identified by the field `id` of its body or else by the whole body.
 */
internal class BookingServer(
    private val delayMs: Long,
) {
    private val bookings = ConcurrentLinkedQueue<String>()
    private val executions = ConcurrentHashMap<String, AtomicInteger>()

    @Volatile
    private var faults = ServiceFaults()

    fun start(port: Int) {
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/bookings", ::book)
                config.routes.get("/bookings") { it.json(bookings.joinToString(",", "[", "]")) }
                config.routes.get("/standings") { it.json("""{"bookings":${bookings.size}}""") }
                config.routes.get("/executions") { it.json(countsAsJson().toString()) }
                config.routes.post("/faults") {
                    faults = Json.decodeFromString(ServiceFaults.serializer(), it.body())
                }
                config.routes.get("/headers") { context ->
                    context.json(context.headerMap().keys.joinToString(",", "[", "]") { "\"$it\"" })
                }
                config.routes.get("/healthz") { if (faults.hang) it.future { NEVER } else it.result("ok") }
            }.start("127.0.0.1", port)
    }

    private fun book(context: Context) {
        val currentFaults = faults
        if (currentFaults.hang) return context.future { NEVER }
        pause(delayMs + currentFaults.delayBeforeMs)
        if (currentFaults.dropBefore) return closeConnection(context)
        execute(context.body())
        pause(currentFaults.delayAfterMs)
        when {
            currentFaults.dropAfter -> closeConnection(context)
            currentFaults.retryAtOnce -> context.status(HTTP_UNAVAILABLE).header("Retry-After", "0")
            else -> context.status(HTTP_CREATED).json("""{"booked":true,"number":${bookings.size}}""")
        }
    }

    private fun execute(body: String) {
        executions.computeIfAbsent(bookingId(body)) { AtomicInteger() }.incrementAndGet()
        bookings.add(body)
    }

    private fun bookingId(body: String): String =
        try {
            Json.parseToJsonElement(body).jsonObject["id"]?.jsonPrimitive?.contentOrNull ?: body
        } catch (_: SerializationException) {
            body
        } catch (_: IllegalArgumentException) {
            body
        }

    private fun closeConnection(context: Context) {
        val request = ServletContextRequest.getServletContextRequest(context.req())
        request.connectionMetaData.connection.endPoint.close()
    }

    private fun pause(durationMs: Long) {
        if (durationMs > 0) Thread.sleep(durationMs)
    }

    private fun countsAsJson() = JsonObject(executions.mapValues { JsonPrimitive(it.value.get()) })

    private fun Context.json(text: String) {
        contentType("application/json").result(text)
    }

    private companion object {
        const val HTTP_CREATED = 201
        const val HTTP_UNAVAILABLE = 503
        val NEVER = CompletableFuture<Unit>()
    }
}
