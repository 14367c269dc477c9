package org.medlarhook.entry.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.medlarhook.core.directory.ServiceRoute
import org.medlarhook.core.directory.Workspace
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.directory.DirectoryView
import org.medlarhook.platform.TimeSource
import org.medlarhook.runtime.settings.EntrySettings

/** The HTTP listener towards callers. */
internal class CallersListener(
    private val settings: EntrySettings,
    private val time: TimeSource,
    private val directory: DirectoryView,
    private val chat: ChatHandler,
    private val services: ServiceHandler,
) {
    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.maxRequestSize = settings.limits.maxBodyBytes
            config.routes.get("/healthz") { it.result("ok") }
            config.routes.get("/readyz") { it.result("ok") }
            config.routes.get("/v1/models") { context -> context.keyed { listModels(context) } }
            config.routes.post("/v1/chat/completions") { context -> context.keyed { chat.handle(context, it) } }
            val handler = io.javalin.http.Handler { callService(it) }
            config.routes.get("/services/{service}/<path>", handler)
            config.routes.post("/services/{service}/<path>", handler)
            config.routes.put("/services/{service}/<path>", handler)
            config.routes.patch("/services/{service}/<path>", handler)
            config.routes.delete("/services/{service}/<path>", handler)
        }

    /** Opens the listener. */
    fun start() {
        server.start(settings.callers.host, settings.callers.port)
    }

    /** Closes the listener. */
    fun stop() {
        server.stop()
    }

    private fun Context.keyed(block: (Workspace) -> Unit) {
        authenticate(this).fold(ifLeft = { problem(it) }, ifRight = block)
    }

    private fun authenticate(context: Context): Either<Failure, Workspace> {
        val header = context.header("Authorization")
        if (header == null || !header.startsWith(BEARER)) {
            return Failure(ResultCode.KEY_MISSING, RunState.NOT_RUN).left()
        }
        return directory.authenticate(header.removePrefix(BEARER).trim(), time.monotonicMs())
    }

    private fun callService(context: Context) {
        val service = context.pathParam("service")
        val path = context.pathParam("path")
        route(context, service, path)
            .flatMap { route -> if (route.open) (null as Workspace?).right() else authenticate(context) }
            .fold(
                ifLeft = { context.problem(it) },
                ifRight = { workspace -> services.handle(context, workspace, service, path) },
            )
    }

    private fun route(context: Context, service: String, path: String): Either<Failure, ServiceRoute> =
        directory
            .service(service)
            ?.routes
            ?.firstOrNull { it.matches(context.method().name, "/$path") }
            ?.right()
            ?: Failure(ResultCode.UNKNOWN_SERVICE, RunState.NOT_RUN).left()

    private fun ServiceRoute.matches(method: String, path: String): Boolean =
        path.startsWith(pathPrefix) && (methods.isEmpty() || method in methods)

    private fun listModels(context: Context) {
        val data =
            buildJsonArray {
                directory.models().forEach { model ->
                    add(
                        buildJsonObject {
                            put("id", model.name)
                            put("object", "model")
                        },
                    )
                }
            }
        context.contentType("application/json").result("""{"object":"list","data":$data}""")
    }

    private companion object {
        const val BEARER = "Bearer "
    }
}
