package org.medlarhook.core.row

import kotlinx.serialization.json.Json

/** The JSON form of row values. Fields that a newer process added are skipped. */
internal object RowJson {
    val format: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    inline fun <reified T> encode(value: T): String = format.encodeToString(value)

    inline fun <reified T> decode(text: String): T = format.decodeFromString(text)
}
