package org.medlarhook.sidecar.http

import okhttp3.ConnectionPool
import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Clients that send each request at most once, each on a connection of its own.
 *
 * Without kept connections a call never meets one that has gone stale or silent, so that a failure before the request
 * is written is proof that it did not arrive. OkHttp repeats a request that is answered 503 with `Retry-After: 0`
 * whatever its settings; the header is renamed before OkHttp sees it.
 */
internal object SingleSendClient {
    /** Creates a client. */
    fun create(connectTimeoutMs: Long): OkHttpClient =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .connectTimeout(Duration.ofMillis(connectTimeoutMs))
            .addNetworkInterceptor(Interceptor { chain -> hideRetryAfter(chain.proceed(chain.request())) })
            .build()

    private fun hideRetryAfter(response: Response): Response {
        if (response.code != UNAVAILABLE) return response
        return response.newBuilder().removeHeader("Retry-After").build()
    }

    private const val UNAVAILABLE = 503
}
