package org.medlarhook.sidecar.http

import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import org.medlarhook.runtime.http.OneAnswerInterceptor
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Creates HTTP clients that send each request at most once, each on a new connection.
 *
 * Connections are not reused, so a call never gets a stale or dead one, and a failure before the request is written
 * proves that the request did not arrive. OkHttp retries a request that is answered 503 with `Retry-After: 0` whatever
 * its settings, so that header is removed before OkHttp's retry logic reads it.
 */
internal object SingleSendClient {
    /** Creates a client with the given connect timeout. */
    fun create(connectTimeoutMs: Long): OkHttpClient =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .connectTimeout(Duration.ofMillis(connectTimeoutMs))
            .addNetworkInterceptor(Interceptor { chain -> removeRetryAfter(chain.proceed(chain.request())) })
            .addNetworkInterceptor(OneAnswerInterceptor)
            .build()

    private fun removeRetryAfter(response: Response): Response {
        if (response.code != HTTP_UNAVAILABLE) return response
        return response.newBuilder().removeHeader("Retry-After").build()
    }

    private const val HTTP_UNAVAILABLE = 503
}
