package org.medlarhook.harness.capacity

import okhttp3.OkHttpClient
import okhttp3.Request

/** Reads Prometheus pages. */
internal class MetricsPages {
    private val client = OkHttpClient()

    /** Returns the values of all series without labels, by name. */
    fun read(operatorsUrl: String): Map<String, Double> =
        text("$operatorsUrl/metrics")
            .lineSequence()
            .filterNot { it.startsWith("#") || '{' in it || it.isBlank() }
            .associate { it.substringBefore(' ') to it.substringAfter(' ').toDouble() }

    /** Returns the body at [url]. */
    fun text(url: String): String =
        client.newCall(Request.Builder().url(url).build()).execute().use { it.body.string() }
}
