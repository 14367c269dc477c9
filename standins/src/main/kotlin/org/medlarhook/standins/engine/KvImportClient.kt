package org.medlarhook.standins.engine

import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException

/** HTTP client that fetches exported KV caches from other engines. */
internal class KvImportClient(
    private val options: EngineOptions,
) {
    private val client = OkHttpClient()

    /** Returns the duration of the export's transfer, or null if the other engine does not provide the export. */
    fun transferMs(body: GenerateBody): Long? {
        val request = Request.Builder().url("${body.kvSource}/kv/${body.kvHandle}").build()
        return try {
            client.newCall(request).execute().use { response ->
                response.body.string().toIntOrNull().takeIf { response.isSuccessful }
            }
        } catch (_: IOException) {
            null
        }?.let { tokens -> (MS_PER_S * tokens * options.kvBytesPerToken / options.kvBytesPerS).toLong() }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
