package org.medlarhook.serving.duty

/** Tells the clock of the store, which all processes can compare with their own. */
public interface StoreClock {
    /** Reads the store's steady clock, or null if the store does not answer. */
    public fun readMs(): Long?
}
