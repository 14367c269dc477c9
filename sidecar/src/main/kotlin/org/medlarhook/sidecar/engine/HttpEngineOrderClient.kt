package org.medlarhook.sidecar.engine

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.sidecar.http.SingleSendClient
import java.io.IOException
import java.time.Duration

/** Sends orders to an engine over HTTP: one POST with a JSON object, answered once the order has been executed. */
internal class HttpEngineOrderClient(
    private val url: String,
    connectTimeoutMs: Long,
) : EngineOrderClient {
    private val client =
        SingleSendClient
            .create(connectTimeoutMs)
            .newBuilder()
            .callTimeout(Duration.ofMillis(ORDER_TIMEOUT_MS))
            .build()

    override fun apply(action: EngineAction, fencingNumber: Long): EngineReply {
        val body = Json.encodeToString(OrderBody.serializer(), action.toBody(fencingNumber))
        val request = Request.Builder().url("$url/orders").post(body.toRequestBody(JSON_TYPE)).build()
        return try {
            client.newCall(request).execute().use { response ->
                when {
                    response.isSuccessful -> EngineReply.Done
                    response.code in CLIENT_ERRORS -> EngineReply.Refused("status ${response.code}")
                    else -> EngineReply.Unknown("status ${response.code}")
                }
            }
        } catch (e: IOException) {
            EngineReply.Unknown(e.message.orEmpty())
        }
    }

    private fun EngineAction.toBody(fencingNumber: Long): OrderBody =
        when (this) {
            is EngineAction.LoadModel -> OrderBody("load-model", fencingNumber, model, version)
            is EngineAction.LoadAdapter -> OrderBody("load-adapter", fencingNumber, model, version, adapter)
            is EngineAction.UnloadModel -> OrderBody("unload-model", fencingNumber, model)
            is EngineAction.SetRole -> OrderBody("set-role", fencingNumber, role = role)
        }

    @Serializable
    private data class OrderBody(
        val action: String,
        val fencingNumber: Long,
        val model: String = "",
        val version: String = "",
        val adapter: String = "",
        val role: String = "",
    )

    private companion object {
        const val ORDER_TIMEOUT_MS = 120_000L
        val CLIENT_ERRORS = 400..499
        val JSON_TYPE = "application/json".toMediaType()
    }
}
