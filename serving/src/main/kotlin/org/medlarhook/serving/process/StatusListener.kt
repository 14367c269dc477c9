package org.medlarhook.serving.process

import io.javalin.Javalin
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Serves readiness, metrics and the state dump. */
internal class StatusListener(
    private val settings: ServingSettings,
    private val meters: PrometheusMeterRegistry,
    private val isReady: () -> Boolean,
    private val dump: () -> String,
) {
    /** Created when the callers' listener is open: it takes a tenth of a start. */
    private val server: Javalin by lazy {
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
            config.routes.get(settings.readinessPath) { it.status(if (isReady()) HTTP_OK else HTTP_UNAVAILABLE) }
            config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(meters.scrape()) }
            config.routes.get("/state") { it.contentType("application/json").result(dump()) }
        }
    }

    fun start() {
        server.start(settings.status.host, settings.status.port)
    }

    fun stop() {
        server.stop()
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val MIN_THREADS = 4
        const val MAX_THREADS = 8
    }
}
