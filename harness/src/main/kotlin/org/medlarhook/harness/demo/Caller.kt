package org.medlarhook.harness.demo

import kotlinx.serialization.json.JsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.time.Duration

/** HTTP client that calls an entry as an application does. */
internal class Caller {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofSeconds(CALL_TIMEOUT_S))
            .build()

    /** Sends a chat completion request to the entry at the base URL [entry]. */
    fun chat(
        entry: String,
        key: String,
        prompt: String,
        maxTokens: Int,
        stream: Boolean = false,
    ): Answer {
        val body =
            """{"model":"${Demo.MODEL}","max_tokens":$maxTokens,"stream":$stream,""" +
                """"messages":[{"role":"user","content":${JsonPrimitive(prompt)}}]}"""
        return post("$entry/v1/chat/completions", key, body)
    }

    /** Requests the list of models that [key] may use. */
    fun models(entry: String, key: String): Answer = get("$entry/v1/models", key)

    /** Sends a GET request to [url], without authorization if [key] is null. */
    fun get(url: String, key: String?): Answer = send(request(url, key).build())

    /** Sends a POST request with a JSON [body] to [url]. */
    fun post(
        url: String,
        key: String?,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): Answer {
        val request = request(url, key).post(body.toRequestBody("application/json".toMediaType()))
        headers.forEach { (name, value) -> request.header(name, value) }
        return send(request.build())
    }

    private fun request(url: String, key: String?): Request.Builder {
        val request = Request.Builder().url(url)
        key?.let { request.header("Authorization", "Bearer $it") }
        return request
    }

    private fun send(request: Request): Answer =
        try {
            client.newCall(request).execute().use { Answer(it.code, it.body.string()) }
        } catch (e: IOException) {
            Answer(0, e.message.orEmpty())
        }

    private companion object {
        const val CALL_TIMEOUT_S = 30L
    }
}
