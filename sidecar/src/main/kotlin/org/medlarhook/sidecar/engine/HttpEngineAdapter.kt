package org.medlarhook.sidecar.engine

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.runtime.settings.EngineSettings
import java.io.IOException
import java.net.ConnectException
import java.time.Duration

/** An engine over HTTP that streams one JSON object a line. */
internal class HttpEngineAdapter(
    private val settings: EngineSettings,
) : EngineAdapter {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .readTimeout(Duration.ofMillis(settings.firstByteTimeoutMs))
            .build()

    override fun generate(
        request: EngineRequest,
        isCancelled: () -> Boolean,
        onToken: (EngineToken) -> Unit,
    ): Either<Failure, EngineEnd> {
        val body = JSON.encodeToString(EngineRequest.serializer(), request).toRequestBody(JSON_TYPE)
        val call = client.newCall(Request.Builder().url("${settings.url}/generate").post(body).build())
        return try {
            call.execute().use { response -> readLines(call, response.body.source(), isCancelled, onToken) }
        } catch (e: ConnectException) {
            Failure(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, e.message ?: "not connected").left()
        } catch (e: IOException) {
            Failure(ResultCode.UPSTREAM_FAILED, RunState.UNKNOWN, e.message ?: "connection lost").left()
        }
    }

    private fun readLines(
        call: Call,
        source: BufferedSource,
        isCancelled: () -> Boolean,
        onToken: (EngineToken) -> Unit,
    ): Either<Failure, EngineEnd> {
        while (true) {
            if (isCancelled()) {
                call.cancel()
                return Failure(ResultCode.CANCELLED, RunState.RUN).left()
            }
            val line = source.readUtf8Line() ?: return lostEnd()
            if (line.startsWith(END_PREFIX)) return JSON.decodeFromString(EngineEnd.serializer(), line).right()
            onToken(JSON.decodeFromString(EngineToken.serializer(), line))
        }
    }

    private fun lostEnd(): Either<Failure, EngineEnd> =
        Failure(ResultCode.UPSTREAM_FAILED, RunState.RUN, "the engine's stream ended early").left()

    private companion object {
        const val END_PREFIX = "{\"end\""
        val JSON = Json { ignoreUnknownKeys = true }
        val JSON_TYPE = "application/json".toMediaType()
    }
}
