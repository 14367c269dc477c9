package org.medlarhook.harness.capacity

import okhttp3.OkHttpClient
import okhttp3.Request

/** HTTP client for metrics in the Prometheus text format. */
internal class MetricsClient {
    private val client = OkHttpClient()

    /** Returns the values of all metrics without labels, by name. */
    fun read(operatorsUrl: String): Map<String, Double> =
        text("$operatorsUrl/metrics")
            .lineSequence()
            .filterNot { it.startsWith("#") || '{' in it || it.isBlank() }
            .associate { it.substringBefore(' ') to it.substringAfter(' ').toDouble() }

    /** Returns the response body of a GET request to [url]. */
    fun text(url: String): String =
        client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }
}
