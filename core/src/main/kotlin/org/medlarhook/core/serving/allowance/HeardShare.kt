package org.medlarhook.core.serving.allowance

/**
 * How many of the processes that divide the allowances tell this one what they use.
 *
 * @property processes all of them, this one included.
 * @property unheard those that are silent, and may be using a share without this one knowing.
 */
public data class HeardShare(
    val processes: Int,
    val unheard: Int,
) {
    /** The part of each allowance that this process and those that it hears divide among themselves. */
    public val part: Double get() = (processes - unheard).toDouble() / processes

    /** True if none of the others is heard. */
    public val isAlone: Boolean get() = processes > 1 && unheard == processes - 1

    /** The shortest time between two reports of a process, which grows with the number of those that read them. */
    public val reportEveryMs: Long get() = (processes * REPORT_MS_PER_PROCESS).coerceIn(MIN_REPORT_MS, MAX_REPORT_MS)

    /** The longest time between two reports, so that the others know that this process can be heard. */
    public val heartbeatEveryMs: Long get() = maxOf(MIN_HEARTBEAT_MS, reportEveryMs * 2)

    /** The age of a process's last report at which it counts as unheard: three lost in a row. */
    public val silentAfterMs: Long get() = heartbeatEveryMs * HEARTBEATS

    /** The time for which the use of the others may be unknown. */
    public val stalenessMs: Long get() = reportEveryMs + TRANSIT_MS

    private companion object {
        const val REPORT_MS_PER_PROCESS = 4L
        const val MIN_REPORT_MS = 250L
        const val MAX_REPORT_MS = 1_000L
        const val MIN_HEARTBEAT_MS = 500L
        const val HEARTBEATS = 3L

        /** A link between regions, and the event loop of a busy process at each end. */
        const val TRANSIT_MS = 150L
    }
}
