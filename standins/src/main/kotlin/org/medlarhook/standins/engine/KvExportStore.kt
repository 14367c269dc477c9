package org.medlarhook.standins.engine

import java.util.UUID

/** The KV caches that the engine exported for transfer, by handle. Bounded: evicts the oldest. Thread-safe. */
internal class KvExportStore {
    private val tokensByHandle = LinkedHashMap<String, Int>()

    /** Exports the KV cache of a prompt of [promptTokens] tokens and returns its handle. */
    @Synchronized
    fun export(promptTokens: Int): String {
        val handle = UUID.randomUUID().toString()
        tokensByHandle[handle] = promptTokens
        if (tokensByHandle.size > MAX_EXPORTS) tokensByHandle.remove(tokensByHandle.keys.first())
        return handle
    }

    /** Returns the number of prompt tokens of an export, or null if there is none under [handle]. */
    @Synchronized
    fun tokens(handle: String): Int? = tokensByHandle[handle]

    private companion object {
        const val MAX_EXPORTS = 1_000
    }
}
