package org.medlarhook.standins.service

import io.javalin.Javalin
import io.javalin.http.Context
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** A booking service. Each `POST /bookings` is one execution; `GET /executions` shows the count for each body. */
internal class BookingServer(
    private val delayMs: Long,
) {
    private val bookings = ConcurrentLinkedQueue<String>()
    private val executions = ConcurrentHashMap<String, AtomicInteger>()

    fun start(port: Int) {
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/bookings", ::book)
                config.routes.get("/bookings") { it.json(bookings.joinToString(",", "[", "]")) }
                config.routes.get("/standings") { it.json("""{"bookings":${bookings.size}}""") }
                config.routes.get("/executions") { context ->
                    context.json(
                        executions.entries.joinToString(",", "{", "}") {
                            "\"${it.key.hashCode()}\":${it.value}"
                        },
                    )
                }
                config.routes.get("/headers") { context ->
                    context.json(context.headerMap().keys.joinToString(",", "[", "]") { "\"$it\"" })
                }
                config.routes.get("/healthz") { it.result("ok") }
            }.start("127.0.0.1", port)
    }

    private fun book(context: Context) {
        if (delayMs > 0) Thread.sleep(delayMs)
        val body = context.body()
        executions.computeIfAbsent(body) { AtomicInteger() }.incrementAndGet()
        bookings.add(body)
        context.status(HTTP_CREATED).json("""{"booked":true,"number":${bookings.size}}""")
    }

    private fun Context.json(text: String) {
        contentType("application/json").result(text)
    }

    private companion object {
        const val HTTP_CREATED = 201
    }
}
