package org.medlarhook.serving.duty

import org.medlarhook.core.serving.usage.StoreClockSample

/** Reads the clock of the store, with which every process can compare its own. */
public interface StoreClock {
    /** Reads the store's monotonic clock; returns null if the store does not answer. */
    public fun readMs(): Long?

    /** Returns the clock as it stands in the latest answer of any call, or null if answers don't tell it. */
    public fun latest(): StoreClockSample? = null
}
