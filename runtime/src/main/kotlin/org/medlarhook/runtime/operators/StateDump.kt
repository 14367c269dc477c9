package org.medlarhook.runtime.operators

import kotlinx.serialization.json.JsonObject

/** Gives a part of the process's state for the dump; the object must hold no secrets. */
public fun interface StateDump {
    /** Returns the state at [nowMs] on the monotonic clock. */
    public fun dump(nowMs: Long): JsonObject
}
