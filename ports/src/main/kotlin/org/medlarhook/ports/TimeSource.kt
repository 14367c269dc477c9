package org.medlarhook.ports

/** Where the edges of the program get the time from. Functions that decide take the time as an argument. */
public interface TimeSource {
    /** Monotonic milliseconds within this process. */
    public fun monotonicMs(): Long

    /** Wall-clock milliseconds since 1970 in UTC; may jump. */
    public fun wallMs(): Long
}
