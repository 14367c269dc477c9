package org.medlarhook.core.row

import kotlinx.serialization.json.Json

/** The JSON form of row values. Fields that a newer process added are skipped. */
public object RowJson {
    public val format: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    public inline fun <reified T> encode(value: T): String = format.encodeToString(value)

    public inline fun <reified T> decode(text: String): T = format.decodeFromString(text)
}
