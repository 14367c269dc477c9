package org.medlarhook.runtime.operators

import kotlinx.serialization.json.JsonObject

/** Provides one part of the state dump at `/state`. The returned object must not contain secrets. */
public fun interface StateDump {
    /** Returns the state at [nowMs] on the monotonic clock. */
    public fun dump(nowMs: Long): JsonObject
}
