package org.medlarhook.sidecar.engine

import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.settings.EngineSettings
import org.medlarhook.sidecar.http.SendProgress
import org.medlarhook.sidecar.http.SingleSendClient
import java.time.Duration

/** Client of an engine that streams its output over HTTP, one JSON object per line. */
internal class HttpEngineAdapter(
    private val settings: EngineSettings,
    private val watchdog: SilenceWatchdog,
    private val time: TimeSource,
) : EngineAdapter {
    private val client =
        SingleSendClient
            .create(settings.connectTimeoutMs)
            .newBuilder()
            .readTimeout(Duration.ZERO)
            .build()

    override fun prepare(request: EngineRequest, deadlineMs: Long): EngineCall {
        val body = Json.encodeToString(EngineRequest.serializer(), request).toRequestBody(JSON_TYPE)
        val progress = SendProgress()
        val call =
            client
                .newBuilder()
                .eventListener(progress)
                .callTimeout(Duration.ofMillis(maxOf(1, deadlineMs - time.monotonicMs())))
                .build()
                .newCall(Request.Builder().url("${settings.url}/generate").post(body).build())
        return HttpEngineCall(call, request, progress, watchdog, settings) { time.monotonicMs() >= deadlineMs }
    }

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
    }
}
