package org.medlarhook.runtime.operators

import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.serialization.json.JsonObject
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.settings.ListenAddress

/**
 * HTTP server for operators: `/metrics` for Prometheus, `/state` with the state dumps as JSON, `/healthz`, `/readyz`,
 * and the routes that [routes] adds.
 */
public class OperatorsListener(
    private val address: ListenAddress,
    private val time: TimeSource,
    private val isReady: () -> Boolean,
    private val dumps: Map<String, StateDump>,
    /** Registry of all metrics of the process. */
    public val registry: PrometheusMeterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT),
    private val routes: (RoutesConfig) -> Unit = {},
) {
    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(registry.scrape()) }
            config.routes.get("/state") { it.contentType("application/json").result(state().toString()) }
            config.routes.get("/healthz") { it.result("ok") }
            config.routes.get("/readyz") { it.status(if (isReady()) HTTP_OK else HTTP_UNAVAILABLE) }
            routes(config.routes)
        }

    /** Starts to listen. */
    public fun start() {
        server.start(address.host, address.port)
    }

    /** Stops listening. */
    public fun stop() {
        server.stop()
    }

    private fun state(): JsonObject = JsonObject(dumps.mapValues { it.value.dump(time.monotonicMs()) })

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
    }
}
