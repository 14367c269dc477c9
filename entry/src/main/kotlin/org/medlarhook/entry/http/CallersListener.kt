package org.medlarhook.entry.http

import io.javalin.Javalin
import io.javalin.http.Context
import io.javalin.http.Handler
import io.javalin.http.HandlerType
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.server.handler.GracefulHandler
import org.medlarhook.core.call.CallHeader
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.settings.EntrySettings
import java.util.concurrent.ScheduledExecutorService

/** The HTTP listener for callers. Requests are read and answered without blocking a thread. */
internal class CallersListener(
    private val settings: EntrySettings,
    private val time: TimeSource,
    private val scheduler: ScheduledExecutorService,
    private val drainState: DrainState,
    private val handlers: Handlers,
) {
    /** The handlers of the routes. */
    internal class Handlers(
        val authorizer: CallerAuthorizer,
        val chat: ChatHandler,
        val services: ServiceHandler,
        val models: ModelsHandler,
    )

    /** Counts the requests whose answers are not completely written. */
    private val unfinished = GracefulHandler()

    private val server =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.maxRequestSize = settings.limits.maxBodyBytes
            config.jetty.modifyHttpConfiguration { http ->
                http.requestHeaderSize = settings.limits.maxHeaderBytes
                http.sendServerVersion = false
            }
            config.jetty.modifyServer { it.handler = unfinished }
            config.jetty.addConnector(::connector)
            config.routes.get("/healthz") { it.result("ok") }
            config.routes.get("/readyz") { it.status(if (drainState.isReady) HTTP_OK else HTTP_UNAVAILABLE) }
            config.routes.get("/v1/models") { asynchronously(it, handlers.models::handle) }
            config.routes.post("/v1/chat/completions") { context -> asynchronously(context) { chat(context, it) } }
            val service = Handler { context -> asynchronously(context) { callService(context, it) } }
            SERVICE_METHODS.forEach { config.routes.addHttpHandler(it, "${SafePath.PREFIX}<path>", service) }
            config.routes.error(HTTP_NOT_FOUND) { notFound(it) }
        }

    /** The local port of the listener. */
    val port: Int
        get() = server.port()

    /** Opens the listener. */
    fun start() {
        server.start()
    }

    /** Closes the listener once the answers that have begun are written, or after a second. */
    fun stop() {
        awaitAnswers()
        server.stop()
    }

    /** Waits until no answer is unfinished, as closing the listener would cut it off. */
    private fun awaitAnswers() {
        val endsAtMs = time.monotonicMs() + WRITE_LIMIT_MS
        while (unfinished.currentRequestCount > 0 && time.monotonicMs() < endsAtMs) Thread.sleep(POLL_INTERVAL_MS)
    }

    private fun connector(server: Server, http: HttpConfiguration): ServerConnector =
        ServerConnector(server, HttpConnectionFactory(http)).apply {
            host = settings.callers.host
            port = settings.callers.port
            idleTimeout = settings.calls.callerIdleTimeoutMs
        }

    private fun asynchronously(context: Context, handle: (CallerRequest) -> Unit) {
        val requestId = RequestIds.of(context.header(HeaderNames.REQUEST_ID))
        val exchange = Exchange(context, requestId, settings.calls.maxBufferedBytes)
        val key = handlers.authorizer.presentedKey(context.header("Authorization"))
        val deadline = context.header(HeaderNames.DEADLINE)
        val caller = CallerRequest(exchange, time.monotonicMs(), key, deadline)
        context.future {
            val refusal = drainState.refusal()
            if (refusal == null) handle(caller) else exchange.problem(refusal)
            exchange.completion
        }
    }

    private fun chat(context: Context, caller: CallerRequest) {
        val chat = handlers.chat
        chat.workspace(caller).fold(
            ifLeft = { chat.refuse(caller, it) },
            ifRight = { workspace ->
                readBody(context, caller, { chat.refuse(caller, it) }) { body -> chat.handle(caller, workspace, body) }
            },
        )
    }

    private fun callService(context: Context, caller: CallerRequest) {
        val head = head(context)
        val services = handlers.services
        services.admit(caller, head).fold(
            ifLeft = { services.refuse(caller, it) },
            ifRight = { admitted ->
                readBody(context, caller, { services.refuse(caller, it) }) { body ->
                    services.handle(caller, head, admitted, body)
                }
            },
        )
    }

    private fun head(context: Context): ServiceCallHead {
        val request = context.req()
        val headers =
            request.headerNames.asSequence().flatMap { name ->
                request.getHeaders(name).asSequence().map { CallHeader(name, it) }
            }
        return ServiceCallHead(
            method = request.method,
            requestUri = request.requestURI,
            query = request.queryString,
            headers = headers.toList(),
            idempotencyKey = request.getHeader(HeaderNames.IDEMPOTENCY_KEY),
        )
    }

    private fun readBody(
        context: Context,
        caller: CallerRequest,
        refuse: (Failure) -> Unit,
        use: (ByteArray) -> Unit,
    ) {
        val listener =
            object : BodyListener {
                override fun complete(body: ByteArray) {
                    caller.exchange.isBodyRead = true
                    use(body)
                }

                override fun failed(failure: Failure) = refuse(failure)
            }
        BodyReader(context.req(), settings.limits.maxBodyBytes, listener)
            .start(scheduler, settings.calls.bodyTimeoutMs)
    }

    private fun notFound(context: Context) {
        val failure = Failure(ResultCode.NOT_FOUND, RunState.NOT_RUN)
        context.contentType("application/problem+json").result(failure.toJson().toString())
    }

    private companion object {
        const val WRITE_LIMIT_MS = 1_000L
        const val POLL_INTERVAL_MS = 10L
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val HTTP_UNAVAILABLE = 503
        val SERVICE_METHODS =
            listOf(
                HandlerType.GET,
                HandlerType.HEAD,
                HandlerType.POST,
                HandlerType.PUT,
                HandlerType.PATCH,
                HandlerType.DELETE,
                HandlerType.OPTIONS,
            )
    }
}
