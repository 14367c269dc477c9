package org.medlarhook.core.directory

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.medlarhook.core.row.JsonGuard

/** JSON encoding of the directory in tables, objects and messages. Unknown fields of newer writers are ignored. */
public object DirectoryJson {
    private val json = Json { ignoreUnknownKeys = true }
    private val guard = JsonGuard(maxChars = MAX_SNAPSHOT_CHARS)

    /** Encodes [change] as in the log and in messages between entries. */
    public fun encode(change: DirectoryChange): String = json.encodeToString(DirectoryChange.serializer(), change)

    /** Decodes a change, and throws a `SerializationException` on malformed [text]. */
    public fun decodeChange(text: String): DirectoryChange = decode(DirectoryChange.serializer(), text)

    internal fun encode(head: DirectoryHead): String = json.encodeToString(DirectoryHead.serializer(), head)

    internal fun decodeHead(text: String): DirectoryHead = decode(DirectoryHead.serializer(), text)

    internal fun encode(snapshot: DirectorySnapshot): String =
        json.encodeToString(DirectorySnapshot.serializer(), snapshot)

    internal fun decodeSnapshot(text: String): DirectorySnapshot =
        decode(DirectorySnapshot.serializer(), text)

    private fun <T> decode(strategy: DeserializationStrategy<T>, text: String): T {
        guard.problemOf(text)?.let { throw SerializationException(it) }
        return json.decodeFromString(strategy, text)
    }

    /** Several times the directory of the largest deployments. */
    private const val MAX_SNAPSHOT_CHARS = 1 shl 26
}
