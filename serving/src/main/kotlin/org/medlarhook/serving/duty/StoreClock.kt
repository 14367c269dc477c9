package org.medlarhook.serving.duty

/** Reads the clock of the store, with which every process can compare its own. */
public interface StoreClock {
    /** Reads the store's monotonic clock; returns null if the store does not answer. */
    public fun readMs(): Long?
}
