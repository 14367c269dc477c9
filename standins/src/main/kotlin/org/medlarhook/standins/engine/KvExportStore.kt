package org.medlarhook.standins.engine

import java.util.UUID

/** Exported KV caches, the oldest first out. Thread-safe. */
internal class KvStore {
    private val tokensByHandle = LinkedHashMap<String, Int>()

    /** Exports the cache of a prompt of [promptTokens] and returns its handle. */
    @Synchronized
    fun export(promptTokens: Int): String {
        val handle = UUID.randomUUID().toString()
        tokensByHandle[handle] = promptTokens
        if (tokensByHandle.size > MAX_EXPORTS) tokensByHandle.remove(tokensByHandle.keys.first())
        return handle
    }

    /** The tokens of an export, or null if it is gone. */
    @Synchronized
    fun tokens(handle: String): Int? = tokensByHandle[handle]

    private companion object {
        const val MAX_EXPORTS = 1_000
    }
}
