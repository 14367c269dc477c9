package org.medlarhook.core.directory

/**
 * The newest known read of the tables whose changes this process has applied.
 *
 * @property originMs a moment on this process's monotonic clock that is not after the read.
 */
public data class TableFreshness(
    val originMs: Long,
) {
    /** An upper bound of the age. */
    public fun stalenessMs(nowMs: Long): Long = nowMs - originMs
}
