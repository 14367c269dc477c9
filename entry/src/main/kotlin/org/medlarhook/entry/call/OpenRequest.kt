package org.medlarhook.entry.call

import kotlinx.serialization.json.JsonObject

/** A request in flight at this entry. */
internal interface OpenRequest {
    /** Checks deadlines, timeouts and the key at [nowMs]. */
    fun tick(nowMs: Long)

    /** The state of the request for the state dump. */
    fun dump(nowMs: Long): JsonObject
}
