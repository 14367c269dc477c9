package org.medlarhook.core.membership

/**
 * Maps the clock of a sidecar to that of an entry. The first report of a watch is sent after the watch was opened, so
 * aligning both moments never yields a time that is too late.
 *
 * @property startedAtMs when the entry opened the watch, on its own clock.
 * @property firstSentAtMs when the sidecar sent the first report of the watch, on the sidecar's clock.
 */
public data class ClockAlignment(
    val startedAtMs: Long,
    val firstSentAtMs: Long,
) {
    /** Returns a moment on the entry's clock that is not after [sentAtMs] on the sidecar's clock. */
    public fun toOwnClockMs(sentAtMs: Long): Long = startedAtMs + (sentAtMs - firstSentAtMs)
}
