package org.medlarhook.standins.engine

import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException

/** Fetches exported KV caches from other engines. */
internal class KvImport(
    private val model: EngineModel,
) {
    private val client = OkHttpClient()

    /** How long the transfer of the export takes, or null if it can't be had. */
    fun transferMs(body: GenerateBody): Long? {
        val request = Request.Builder().url("${body.kvSource}/kv/${body.kvHandle}").build()
        return try {
            client.newCall(request).execute().use { response ->
                response.body.string().toIntOrNull().takeIf { response.isSuccessful }
            }
        } catch (_: IOException) {
            null
        }?.let { tokens -> (MS_PER_S * tokens * model.kvBytesPerToken / model.kvBytesPerS).toLong() }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
