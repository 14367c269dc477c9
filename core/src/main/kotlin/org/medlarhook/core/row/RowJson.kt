package org.medlarhook.core.row

import kotlinx.serialization.json.Json

/** Encodes and decodes row values as JSON. Decoding ignores fields that a newer version of the program has added. */
public object RowJson {
    public val format: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    public inline fun <reified T> encode(value: T): String = format.encodeToString(value)

    public inline fun <reified T> decode(text: String): T = format.decodeFromString(text)
}
