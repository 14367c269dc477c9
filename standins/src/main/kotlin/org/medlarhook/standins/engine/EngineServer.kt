package org.medlarhook.standins.engine

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Stand-in of a model engine: an HTTP server that streams one JSON object per line, a line for each token and then an
 * end line.
 */
internal class EngineServer(
    private val options: EngineOptions,
) {
    @Volatile
    private var faults = EngineFaults()
    private val orders = EngineOrders(options)
    private val exports = KvExportStore()
    private val imports = KvImportClient(options)
    private val cacheEvents = CacheEventLog(options.cacheEventDelayMs)
    private val cache = PrefixCache(options.cacheTokens) { kind, block -> cacheEvents.record(kind, block, nowMs()) }
    private val loadReports = LaggingLoadReports(options.loadLagMs)
    private val attemptCounter = AttemptCounter()
    private val timer = Executors.newScheduledThreadPool(1)
    private val writers = Executors.newFixedThreadPool(WRITERS)
    private val loop = BatchLoop(options, { faults }, { orders.isChangingRole }, writers, ::exportIfPrefillOnly)

    fun start(port: Int) {
        loop.start()
        timer.scheduleAtFixedRate(::sampleLoad, 0, SAMPLE_MS, TimeUnit.MILLISECONDS)
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/generate", ::generate)
                config.routes.post("/cancel") { it.status(if (loop.cancel(it.body())) HTTP_OK else HTTP_NOT_FOUND) }
                config.routes.post("/orders", ::order)
                config.routes.get("/orders") { it.json(ListSerializer(LoggedOrder.serializer()), orders.log.toList()) }
                config.routes.post("/faults", ::setFaults)
                config.routes.get("/kv/{handle}", ::export)
                config.routes.get("/cache-events", ::publishCacheEvents)
                config.routes.get("/attempts") { it.json(COUNTS, attemptCounter.counts()) }
                config.routes.get("/models") { it.json(ListSerializer(String.serializer()), orders.models()) }
                config.routes.get("/load") { context ->
                    loadReports.published()?.let { context.json(LoadReport.serializer(), it) }
                }
                config.routes.get("/stats") { it.json(EngineStats.serializer(), stats()) }
                config.routes.get("/healthz", ::health)
            }.start("127.0.0.1", port)
    }

    private fun generate(context: Context) {
        if (faults.hang) return context.future { NEVER }
        val body = JSON.decodeFromString(GenerateBody.serializer(), context.body())
        when {
            faults.refuse || orders.isChangingRole -> context.status(HTTP_UNAVAILABLE)
            !orders.serves(body) -> context.status(HTTP_NOT_FOUND)
            else -> startStream(context, body)
        }
    }

    private fun startStream(context: Context, body: GenerateBody) {
        attemptCounter.add(body.attemptId)
        val transferMs = if (body.kvHandle.isEmpty()) null else imports.transferMs(body)
        val prefillTokens = if (transferMs != null) 0 else uncachedTokens(body)
        context.future {
            val stream = EngineStream(body, prefillTokens, context.res().outputStream)
            timer.schedule({ loop.submit(stream) }, transferMs ?: 0, TimeUnit.MILLISECONDS)
            stream.done
        }
    }

    private fun uncachedTokens(body: GenerateBody): Int =
        maxOf(0, body.promptTokens + body.resumeFromToken - cache.matchAndStore(body.prompt))

    private fun exportIfPrefillOnly(stream: EngineStream): String? =
        if (stream.body.prefillOnly) exports.export(stream.body.promptTokens) else null

    private fun export(context: Context) {
        val tokens = exports.tokens(context.pathParam("handle"))
        if (tokens == null) context.status(HTTP_NOT_FOUND) else context.result(tokens.toString())
    }

    private fun order(context: Context) {
        val isApplied = orders.apply(JSON.decodeFromString(EngineOrderBody.serializer(), context.body()))
        context.status(if (isApplied) HTTP_OK else HTTP_CONFLICT)
    }

    private fun setFaults(context: Context) {
        faults = JSON.decodeFromString(EngineFaults.serializer(), context.body())
        if (faults.crash) Runtime.getRuntime().halt(EXIT_CRASHED)
    }

    private fun publishCacheEvents(context: Context) {
        val after = context.queryParam("after")?.toLongOrNull() ?: 0
        context.json(ListSerializer(CacheEvent.serializer()), cacheEvents.after(after, nowMs()))
    }

    private fun health(context: Context) {
        when {
            faults.hang -> context.future { NEVER }
            orders.isChangingRole -> context.status(HTTP_UNAVAILABLE)
            else -> context.result("ok")
        }
    }

    private fun stats() = EngineStats(loop.generatedTokens.get(), loop.prefilledTokens.get())

    private fun sampleLoad() {
        loadReports.sample(LoadReport(loop.runningCount, loop.waitingCount, options.slots, orders.role, nowMs()))
    }

    private fun nowMs(): Long = System.currentTimeMillis()

    private fun <T> Context.json(serializer: kotlinx.serialization.KSerializer<T>, value: T) {
        contentType("application/json").result(JSON.encodeToString(serializer, value))
    }

    private companion object {
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val HTTP_UNAVAILABLE = 503
        const val EXIT_CRASHED = 1
        const val WRITERS = 4
        const val SAMPLE_MS = 100L
        val NEVER = CompletableFuture<Unit>()
        val COUNTS = MapSerializer(String.serializer(), Int.serializer())
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
