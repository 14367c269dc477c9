package org.medlarhook.loadtool.run

import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Sends requests to the entries in rotation and records the answers. The client retries nothing. */
internal class EntryClient(
    private val entries: List<String>,
    private val keyByWorkspace: Map<String, String>,
    private val model: String,
) {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .readTimeout(Duration.ofMillis(READ_TIMEOUT_MS))
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
            .dispatcher(Dispatcher())
            .build()

    /**
     * Sends a request and waits for its answer.
     *
     * @param index position of [planned] in the plan, which determines the entry.
     * @param sinceScheduledMs the time since the scheduled send time.
     */
    fun send(planned: PlannedRequest, index: Int, sinceScheduledMs: () -> Double): RequestRecord {
        val recorder = AnswerRecorder(planned, sinceScheduledMs)
        return try {
            client
                .newCall(request(planned, entries[index % entries.size]))
                .execute()
                .use { read(planned, it, recorder) }
        } catch (_: IOException) {
            recorder.record(status = 0, complete = false)
        }
    }

    private fun read(planned: PlannedRequest, response: Response, recorder: AnswerRecorder): RequestRecord {
        val streamed = planned is PlannedRequest.Chat && planned.kind.streamed && response.isSuccessful
        val complete = if (streamed) readStream(response, recorder) else readPlain(response, recorder)
        val retryAfterMs = response.header("Retry-After")?.toDoubleOrNull()?.let { (it * MS_PER_S).toLong() }
        return recorder.record(response.code, complete, retryAfterMs)
    }

    private fun readPlain(response: Response, recorder: AnswerRecorder): Boolean {
        val text = response.body.string()
        recorder.onBody(text)
        return response.isSuccessful
    }

    private fun readStream(response: Response, recorder: AnswerRecorder): Boolean {
        val source = response.body.source()
        while (true) {
            val line = source.readUtf8Line() ?: return false
            if (!line.startsWith(DATA_PREFIX)) continue
            if (line == DONE_LINE) return true
            if ("\"error\"" in line) return false
            recorder.onToken()
        }
    }

    private fun request(planned: PlannedRequest, entry: String): Request {
        val builder = Request.Builder().header("X-Deadline-Ms", planned.deadlineMs.toLong().toString())
        keyByWorkspace[planned.workspace]?.let { builder.header("Authorization", "Bearer $it") }
        return when (planned) {
            is PlannedRequest.Chat -> builder.url(
                "$entry/v1/chat/completions",
            ).post(body(planned).toRequestBody(JSON_TYPE))
            is PlannedRequest.Service -> builder.url(
                "$entry/services/${planned.call.service}/${planned.call.path}",
            ).withCall(planned.call)
        }.build()
    }

    private fun Request.Builder.withCall(call: ServiceCallSpec): Request.Builder =
        method(call.method, if (call.method == "GET") null else call.body.toRequestBody(JSON_TYPE))

    private fun body(chat: PlannedRequest.Chat): String =
        buildJsonObject {
            put("model", model)
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", chat.prompt)
                }
            }
            put("stream", chat.kind.streamed)
            put("max_tokens", chat.kind.outputTokens)
        }.toString()

    private companion object {
        const val MS_PER_S = 1_000.0
        const val READ_TIMEOUT_MS = 60_000L
        const val MAX_IDLE_CONNECTIONS = 500
        const val DATA_PREFIX = "data:"
        const val DONE_LINE = "data: [DONE]"
        val JSON_TYPE = "application/json".toMediaType()
    }
}
