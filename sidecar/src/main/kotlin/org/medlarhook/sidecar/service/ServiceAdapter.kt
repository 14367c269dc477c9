package org.medlarhook.sidecar.service

import okhttp3.Headers
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.internal.http.HttpMethod
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.runtime.settings.ServiceSettings
import org.medlarhook.sidecar.http.SendProgress
import org.medlarhook.sidecar.http.SingleSendClient
import java.time.Duration

/** HTTP client of one plain service. Each call is sent at most once. */
internal class ServiceAdapter(
    private val settings: ServiceSettings,
    private val time: TimeSource,
) {
    private val client = SingleSendClient.create(settings.connectTimeoutMs)

    /** Prepares [call], which must end by [deadlineMs] on the monotonic clock; sends nothing yet. */
    fun prepare(call: ServiceCall, deadlineMs: Long): PreparedCall {
        val progress = SendProgress()
        val observedClient = client.newBuilder().eventListener(progress)
        return PreparedCall(
            maxAnswerBytes = settings.maxAnswerBytes,
            progress = progress,
            remainingMs = { minOf(deadlineMs - time.monotonicMs(), settings.callTimeoutMs) },
            open = { timeoutMs ->
                val timeout = Duration.ofMillis(timeoutMs)
                observedClient
                    .callTimeout(timeout)
                    .readTimeout(timeout)
                    .build()
                    .newCall(call.toRequest())
            },
        )
    }

    private fun ServiceCall.toRequest(): Request {
        val headers = Headers.Builder().apply { headersList.forEach { add(it.name, it.value) } }.build()
        val content = if (HttpMethod.permitsRequestBody(method)) body.toByteArray().toRequestBody() else null
        return Request
            .Builder()
            .url(settings.url + pathAndQuery)
            .headers(headers)
            .method(method, content)
            .build()
    }
}
