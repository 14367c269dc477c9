package org.medlarhook.cli.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.core.result.ResultCode
import org.medlarhook.runtime.operators.api.ChangeAnswer
import org.medlarhook.runtime.operators.api.ChangeRequest
import org.medlarhook.runtime.operators.api.ConfigAnswer
import org.medlarhook.runtime.operators.api.HistoryAnswer
import org.medlarhook.runtime.operators.api.InForceAnswer
import org.medlarhook.runtime.operators.api.KeyAnswer
import org.medlarhook.runtime.operators.api.KeyRequest
import org.medlarhook.runtime.operators.api.KeysAnswer
import org.medlarhook.runtime.operators.api.ProblemAnswer
import java.io.IOException
import java.time.Duration

/** HTTP client of an entry's HTTP server for operators at [baseUrl]. */
internal class OperatorsClient(
    private val baseUrl: String,
) {
    private val http =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .callTimeout(Duration.ofMillis(CALL_TIMEOUT_MS))
            .build()

    fun config(): Either<CallFailure, ConfigAnswer> = get("/operators/config", ConfigAnswer.serializer())

    fun apply(request: ChangeRequest): Either<CallFailure, ChangeAnswer> {
        val body = JSON.encodeToString(ChangeRequest.serializer(), request)
        return post("/operators/config/changes", body, ChangeAnswer.serializer())
    }

    fun history(limit: Int): Either<CallFailure, HistoryAnswer> =
        get("/operators/config/history?limit=$limit", HistoryAnswer.serializer())

    fun inForce(version: Long): Either<CallFailure, InForceAnswer> =
        get("/operators/config/in-force/$version", InForceAnswer.serializer())

    fun keys(workspace: String?): Either<CallFailure, KeysAnswer> {
        val query = workspace?.let { "?workspace=$it" }.orEmpty()
        return get("/operators/keys$query", KeysAnswer.serializer())
    }

    fun grantKey(request: KeyRequest): Either<CallFailure, KeyAnswer> {
        val body = JSON.encodeToString(KeyRequest.serializer(), request)
        return post("/operators/keys", body, KeyAnswer.serializer())
    }

    fun withdrawKey(keyId: String, author: String): Either<CallFailure, ChangeAnswer> =
        retried { request("/operators/keys/$keyId?author=$author") { it.delete() } }.decoded(ChangeAnswer.serializer())

    /** Returns the state dump of the process as JSON text. */
    fun state(): Either<CallFailure, String> = request("/state") { it }

    /** Sends a GET request to [path] and returns the JSON text of the response. */
    fun raw(path: String): Either<CallFailure, String> = request(path) { it }

    private fun <T> get(path: String, serializer: KSerializer<T>): Either<CallFailure, T> =
        request(path) { it }.decoded(serializer)

    private fun <T> post(path: String, body: String, serializer: KSerializer<T>): Either<CallFailure, T> =
        retried { request(path) { it.post(body.toRequestBody(JSON_TYPE)) } }.decoded(serializer)

    /** Retries a call for 10 s while the entry answers that it can't reach the platform and has changed nothing. */
    private fun <T> retried(call: () -> Either<CallFailure, T>): Either<CallFailure, T> {
        val deadlineNanos = System.nanoTime() + RETRY_LIMIT_NANOS
        while (true) {
            val result = call()
            val isRetryable = (result.leftOrNull() as? CallFailure.Refused)?.problem?.code == RETRYABLE_CODE
            if (!isRetryable || System.nanoTime() > deadlineNanos) return result
            Thread.sleep(RETRY_INTERVAL_MS)
        }
    }

    private fun request(path: String, configure: (Request.Builder) -> Request.Builder): Either<CallFailure, String> {
        val url =
            (baseUrl.trimEnd('/') + path).toHttpUrlOrNull()
                ?: return CallFailure.Unreachable("'$baseUrl' is not an HTTP URL").left()
        return try {
            http.newCall(configure(Request.Builder().url(url)).build()).execute().use { response ->
                val text = response.body.string()
                if (response.isSuccessful) text.right() else problem(response.code, text).left()
            }
        } catch (e: IOException) {
            CallFailure.Unreachable(e.message ?: "I/O error without a message").left()
        }
    }

    private fun problem(status: Int, text: String): CallFailure =
        try {
            CallFailure.Refused(JSON.decodeFromString(ProblemAnswer.serializer(), text))
        } catch (_: SerializationException) {
            val code = ResultCode.INTERNAL
            CallFailure.Refused(ProblemAnswer(code.title, code.number, "HTTP status $status without problem details"))
        }

    private fun <T> Either<CallFailure, String>.decoded(serializer: KSerializer<T>): Either<CallFailure, T> =
        map { JSON.decodeFromString(serializer, it) }

    private companion object {
        const val CALL_TIMEOUT_MS = 15_000L
        const val RETRY_LIMIT_NANOS = 10_000_000_000L
        const val RETRY_INTERVAL_MS = 300L
        val RETRYABLE_CODE = ResultCode.PLATFORM_UNAVAILABLE.number
        val JSON = Json { ignoreUnknownKeys = true }
        val JSON_TYPE = "application/json".toMediaType()
    }
}
