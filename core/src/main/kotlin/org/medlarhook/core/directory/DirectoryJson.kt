package org.medlarhook.core.directory

import kotlinx.serialization.json.Json

/** JSON encoding of the directory in tables, objects and messages. Unknown fields of newer writers are ignored. */
public object DirectoryJson {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [change] as in the log and in messages between entries. */
    public fun encode(change: DirectoryChange): String = json.encodeToString(DirectoryChange.serializer(), change)

    /** Decodes a change, and throws a `SerializationException` on malformed [text]. */
    public fun decodeChange(text: String): DirectoryChange = json.decodeFromString(DirectoryChange.serializer(), text)

    internal fun encode(head: DirectoryHead): String = json.encodeToString(DirectoryHead.serializer(), head)

    internal fun decodeHead(text: String): DirectoryHead = json.decodeFromString(DirectoryHead.serializer(), text)

    internal fun encode(snapshot: DirectorySnapshot): String =
        json.encodeToString(DirectorySnapshot.serializer(), snapshot)

    internal fun decodeSnapshot(text: String): DirectorySnapshot =
        json.decodeFromString(DirectorySnapshot.serializer(), text)
}
