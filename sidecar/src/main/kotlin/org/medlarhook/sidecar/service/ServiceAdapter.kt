package org.medlarhook.sidecar.service

import com.google.protobuf.ByteString
import okhttp3.Headers
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.internal.http.HttpMethod
import org.medlarhook.core.result.ResultCode
import org.medlarhook.protocol.Header
import org.medlarhook.protocol.Refusal
import org.medlarhook.protocol.RunState
import org.medlarhook.protocol.ServiceAnswer
import org.medlarhook.protocol.ServiceCall
import org.medlarhook.protocol.ServiceResponse
import org.medlarhook.runtime.settings.ServiceSettings
import java.io.IOException
import java.net.ConnectException
import java.time.Duration

/** The door to one plain service over HTTP. A call is sent at most once. */
internal class ServiceAdapter(
    private val settings: ServiceSettings,
) {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .build()

    /** Sends [call] and returns the service's answer, or a refusal that says whether it was run. */
    fun call(call: ServiceCall): ServiceAnswer {
        val timeoutMs = minOf(call.remainingMs, settings.callTimeoutMs)
        val bounded = client.newBuilder().callTimeout(Duration.ofMillis(timeoutMs)).build()
        return try {
            bounded.newCall(call.toRequest()).execute().use { response ->
                val answer =
                    ServiceResponse
                        .newBuilder()
                        .setStatus(response.code)
                        .addAllHeaders(response.headers.map { (name, value) -> header(name, value) })
                        .setBody(ByteString.copyFrom(response.body.bytes()))
                ServiceAnswer.newBuilder().setResponse(answer).build()
            }
        } catch (e: ConnectException) {
            refusal(ResultCode.UPSTREAM_FAILED, RunState.NOT_RUN, e)
        } catch (e: IOException) {
            refusal(ResultCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, e)
        }
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

    private fun header(name: String, value: String): Header =
        Header
            .newBuilder()
            .setName(name)
            .setValue(value)
            .build()

    private fun refusal(code: ResultCode, runState: RunState, cause: IOException): ServiceAnswer =
        ServiceAnswer
            .newBuilder()
            .setRefusal(
                Refusal
                    .newBuilder()
                    .setCode(code.number)
                    .setRunState(runState)
                    .setDetail(cause.message.orEmpty()),
            ).build()
}
