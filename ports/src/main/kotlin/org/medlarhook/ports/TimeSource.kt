package org.medlarhook.ports

/**
 * The clocks of the process, read only where it handles input and output. Decision functions take the time as an
 * argument, so that tests control it.
 */
public interface TimeSource {
    /** Monotonic clock in milliseconds; comparable only within this process. */
    public fun monotonicMs(): Long

    /** Wall clock in milliseconds since 1970-01-01 UTC; may jump forwards or backwards. */
    public fun wallMs(): Long
}
