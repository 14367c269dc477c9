package org.medlarhook.entry.call

import kotlinx.serialization.json.JsonObject

/** A request that the entry works on. */
internal interface OpenRequest {
    /** Checks deadlines, timeouts and the key at [nowMs]. */
    fun tick(nowMs: Long)

    /** What the state dump shows of it. */
    fun dump(nowMs: Long): JsonObject
}
