package org.medlarhook.harness.bench

import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.time.Duration
import java.util.concurrent.TimeUnit

/** HTTP client that calls an entry, or an engine directly for comparison. */
internal class BenchCaller(
    private val entryUrl: String,
    private val key: String,
    private val model: String,
) {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(Duration.ofMinutes(1))
            .connectionPool(ConnectionPool(POOLED_CONNECTIONS, 1, TimeUnit.MINUTES))
            .build()

    /** Returns true if the entry serves the model. */
    fun isServing(): Boolean =
        try {
            callEntry(tokens = 1)
        } catch (_: IOException) {
            false
        }

    /** Streams [tokens] tokens through the entry; returns true if the stream ends with [END_MARK]. */
    fun callEntry(tokens: Int): Boolean {
        val body =
            """{"model":"$model","stream":true,"max_tokens":$tokens,""" +
                """"messages":[{"role":"user","content":"hi"}]}"""
        val request = Request.Builder().url("$entryUrl/v1/chat/completions").header("Authorization", "Bearer $key")
        return endsWith(request.post(body.toRequestBody(JSON)).build(), END_MARK)
    }

    /** Requests one token from the engine at [engineUrl]; returns true on success. */
    fun callEngine(engineUrl: String): Boolean {
        val body =
            """{"attemptId":"direct-${System.nanoTime()}","model":"$model","adapter":"","prompt":"user: hi",""" +
                """"promptTokens":3,"maxOutputTokens":1,"resumeFromToken":0,"priority":0}"""
        val request = Request.Builder().url("$engineUrl/generate").post(body.toRequestBody(JSON)).build()
        return client.newCall(request).execute().use { it.body.bytes().isNotEmpty() && it.isSuccessful }
    }

    private fun endsWith(request: Request, mark: String): Boolean =
        client.newCall(request).execute().use { response ->
            val source = response.body.source()
            val tail = ArrayDeque<Byte>()
            val buffer = ByteArray(BUFFER_BYTES)
            while (true) {
                val count = source.read(buffer)
                if (count < 0) break
                for (index in maxOf(0, count - mark.length) until count) tail.addLast(buffer[index])
                while (tail.size > mark.length) tail.removeFirst()
            }
            response.isSuccessful && tail.toByteArray().decodeToString() == mark
        }

    private companion object {
        const val POOLED_CONNECTIONS = 128
        const val BUFFER_BYTES = 65_536
        const val END_MARK = "data: [DONE]\n\n"
        val JSON = "application/json".toMediaType()
    }
}
