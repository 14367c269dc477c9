package org.medlarhook.runtime.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import okhttp3.EventListener
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import org.medlarhook.ports.TableFailure
import org.medlarhook.runtime.http.OneAnswerInterceptor
import java.io.IOException
import java.net.ConnectException
import java.time.Duration

/**
 * HTTP client of the platform's services. OkHttp's retries and redirects are switched off, so that a call is sent at
 * most once.
 *
 * @param baseUrl the platform's address, such as `http://127.0.0.1:7000`.
 */
public class PlatformHttpClient(
    baseUrl: String,
    callTimeoutMs: Long,
    listener: EventListener = EventListener.NONE,
) {
    private val base = baseUrl.toHttpUrl()
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListener(listener)
            .addNetworkInterceptor(OneAnswerInterceptor)
            .callTimeout(Duration.ofMillis(callTimeoutMs))
            .build()

    /** Returns the URL of [path], whose segments are separated by slashes, under the base URL. */
    internal fun url(path: String): HttpUrl = base.newBuilder().addPathSegments(path).build()

    /** Sends [json] by POST. */
    internal fun post(url: HttpUrl, json: String): Either<TableFailure, PlatformAnswer> =
        send(Request.Builder().url(url).post(json.toRequestBody(JSON)).build())

    /** Sends [content] by PUT. */
    internal fun put(url: HttpUrl, content: ByteArray): Either<TableFailure, PlatformAnswer> =
        send(Request.Builder().url(url).put(content.toRequestBody(BYTES)).build())

    /** Sends a GET request. */
    internal fun get(url: HttpUrl): Either<TableFailure, PlatformAnswer> = send(Request.Builder().url(url).build())

    private fun send(request: Request): Either<TableFailure, PlatformAnswer> =
        try {
            client.newCall(request).execute().use { response ->
                PlatformAnswer(response.code, response.body.bytes()).classified()
            }
        } catch (e: ConnectException) {
            TableFailure.Unavailable(e.message ?: "not connected").left()
        } catch (e: IOException) {
            TableFailure.OutcomeUnknown(e.message ?: "no answer").left()
        }

    private fun PlatformAnswer.classified(): Either<TableFailure, PlatformAnswer> =
        when (status) {
            HTTP_OK, HTTP_NOT_FOUND, HTTP_CONFLICT -> right()
            HTTP_UNAVAILABLE -> TableFailure.Unavailable("status $status").left()
            else -> TableFailure.OutcomeUnknown("status $status").left()
        }

    internal companion object {
        const val HTTP_OK = 200
        const val HTTP_NOT_FOUND = 404
        const val HTTP_CONFLICT = 409
        const val HTTP_UNAVAILABLE = 503
        private val JSON = "application/json".toMediaType()
        private val BYTES: okhttp3.MediaType? = null

        private fun ByteArray.toRequestBody(type: okhttp3.MediaType?): RequestBody = this.toRequestBody(type, 0, size)
    }
}
