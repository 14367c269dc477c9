package org.medlarhook.core.directory

/**
 * The newest read of the tables, by this process or a peer, whose changes this process has applied.
 *
 * @property originMs a moment on this process's monotonic clock that is not after the read.
 */
public data class TableFreshness(
    val originMs: Long,
) {
    /** Upper bound of the staleness of this process's copy at [nowMs]. */
    public fun stalenessMs(nowMs: Long): Long = nowMs - originMs
}
