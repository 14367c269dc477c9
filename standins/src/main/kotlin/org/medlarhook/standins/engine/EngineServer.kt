package org.medlarhook.standins.engine

import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.Semaphore
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** A model engine over HTTP: streams one JSON object a line, first the tokens, last an end line. */
internal class EngineServer(
    private val model: EngineModel,
) {
    private val slots = Semaphore(model.slots, true)
    private val prefillLock = Any()
    private val running = AtomicInteger()
    private val generatedTokens = AtomicLong()

    fun start(port: Int) {
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/generate", ::generate)
                config.routes.get("/load") { it.result("""{"running":${running.get()},"slots":${model.slots}}""") }
                config.routes.get("/stats") { it.result("""{"generatedTokens":${generatedTokens.get()}}""") }
                config.routes.get("/healthz") { it.result("ok") }
            }.start("127.0.0.1", port)
    }

    private fun generate(context: Context) {
        val request = JSON.decodeFromString(GenerateBody.serializer(), context.body())
        slots.acquire()
        running.incrementAndGet()
        try {
            prefill(request)
            decode(request, context)
        } finally {
            running.decrementAndGet()
            slots.release()
        }
    }

    private fun prefill(request: GenerateBody) {
        val durationMs = (request.promptTokens * MS_PER_S / model.prefillTokensPerS).toLong()
        synchronized(prefillLock) { Thread.sleep(durationMs) }
    }

    private fun decode(request: GenerateBody, context: Context) {
        val output = context.res().outputStream
        val intervalNanos = (NANOS_PER_S / model.decodeTokensPerS).toLong()
        var nextNanos = System.nanoTime()
        for (index in request.resumeFromToken until request.maxOutputTokens) {
            nextNanos += intervalNanos
            val waitMs = (nextNanos - System.nanoTime()) / NANOS_PER_MS
            if (waitMs > 0) Thread.sleep(waitMs)
            output.write("""{"index":$index,"text":"${tokenText(request, index)}"}""".plus("\n").encodeToByteArray())
            output.flush()
            generatedTokens.incrementAndGet()
        }
        output.write("""{"end":"length","outputTokens":${request.maxOutputTokens}}""".plus("\n").encodeToByteArray())
        output.flush()
    }

    /** The text depends on prompt and index alone, so that a resumed stream goes on as the first one would have. */
    private fun tokenText(request: GenerateBody, index: Int): String =
        " w" + Math.floorMod(request.prompt.hashCode() + index * TOKEN_STRIDE, VOCABULARY)

    @Serializable
    private data class GenerateBody(
        val attemptId: String,
        val model: String,
        val prompt: String,
        val promptTokens: Int,
        val maxOutputTokens: Int,
        val resumeFromToken: Int = 0,
        val priority: Int = 0,
    )

    private companion object {
        const val MS_PER_S = 1_000.0
        const val NANOS_PER_S = 1_000_000_000.0
        const val NANOS_PER_MS = 1_000_000L
        const val TOKEN_STRIDE = 7919
        const val VOCABULARY = 50_000
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
