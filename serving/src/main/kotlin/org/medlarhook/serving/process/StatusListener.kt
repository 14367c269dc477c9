package org.medlarhook.serving.process

import io.javalin.Javalin
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Serves readiness, metrics and the state dump over HTTP. */
internal class StatusListener(
    private val settings: ServingSettings,
    private val meters: PrometheusMeterRegistry,
    private val isReady: () -> Boolean,
    private val dump: () -> String,
) {
    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
            listOfNotNull(settings.status.port, settings.metricsPort).distinct().forEach { port ->
                config.jetty.addConnector { server, _ -> connector(server, port) }
            }
            config.routes.get(settings.readinessPath) { it.status(if (isReady()) HTTP_OK else HTTP_UNAVAILABLE) }
            config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(meters.scrape()) }
            config.routes.get("/state") { it.contentType("application/json").result(dump()) }
        }

    fun start() {
        server.start()
    }

    private fun connector(server: Server, port: Int): ServerConnector =
        ServerConnector(server, ACCEPTORS, SELECTORS).apply {
            host = settings.status.host
            this.port = port
        }

    fun stop() {
        server.stop()
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
        const val ACCEPTORS = 1
        const val SELECTORS = 1

        /** An acceptor and a selector for each of two ports; [MAX_THREADS] leaves as many for requests. */
        const val MIN_THREADS = 4
        const val MAX_THREADS = 8
    }
}
