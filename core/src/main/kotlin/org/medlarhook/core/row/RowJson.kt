package org.medlarhook.core.row

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Encodes and decodes row values as JSON. Decoding ignores fields that a newer version of the program has added. */
public object RowJson {
    private val guard = JsonGuard()

    public val format: Json =
        Json {
            encodeDefaults = true
            ignoreUnknownKeys = true
        }

    public inline fun <reified T> encode(value: T): String = format.encodeToString(value)

    /** Decodes [text], or throws an [IllegalArgumentException], never an error, whatever another writer has left. */
    public inline fun <reified T> decode(text: String): T {
        check(text)
        return format.decodeFromString(text)
    }

    @PublishedApi
    internal fun check(text: String) {
        guard.problemOf(text)?.let { throw SerializationException(it) }
    }
}
