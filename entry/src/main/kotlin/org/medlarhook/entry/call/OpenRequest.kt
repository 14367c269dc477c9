package org.medlarhook.entry.call

import kotlinx.serialization.json.JsonObject

/** A request in flight at this entry. */
internal interface OpenRequest {
    /** Checks deadlines, timeouts and the key at [nowMs]. */
    fun tick(nowMs: Long)

    /** Ends the request with its final answer, because the process ends. */
    fun cutOff()

    /** The state of the request for the state dump. */
    fun dump(nowMs: Long): JsonObject
}
