package org.medlarhook.harness

import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.time.Duration

/** Waits by polling, for HTTP servers and for other conditions. */
public object Readiness {
    private const val TIMEOUT_MS = 30_000L
    private const val POLL_MS = 50L
    private val client = OkHttpClient.Builder().callTimeout(Duration.ofSeconds(1)).build()

    /** Polls [url] until it answers with a 2xx status. Throws [IllegalStateException] after [timeoutMs]. */
    public fun await(url: String, timeoutMs: Long = TIMEOUT_MS): Unit =
        until("no 2xx response from $url", timeoutMs) { succeeds(url) }

    /** Polls [condition] until it is true. Throws [IllegalStateException] with [message] after [timeoutMs]. */
    public fun until(message: String, timeoutMs: Long = TIMEOUT_MS, condition: () -> Boolean) {
        val endNanos = System.nanoTime() + Duration.ofMillis(timeoutMs).toNanos()
        while (!condition()) {
            check(System.nanoTime() < endNanos) { "$message after $timeoutMs ms" }
            Thread.sleep(POLL_MS)
        }
    }

    private fun succeeds(url: String): Boolean =
        try {
            client.newCall(Request.Builder().url(url).build()).execute().use { it.isSuccessful }
        } catch (_: IOException) {
            false
        }
}
