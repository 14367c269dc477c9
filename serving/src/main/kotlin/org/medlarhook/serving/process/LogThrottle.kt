package org.medlarhook.serving.process

/** Limits how many lines of one kind are logged: at most [maxLines] in each interval of [intervalMs]. */
internal class LogThrottle(
    private val maxLines: Int = 10,
    private val intervalMs: Long = 10_000,
) {
    private var sinceMs: Long? = null
    private var lines = 0

    /** True if a line may be logged at [nowMs]; it then counts as logged. */
    fun permits(nowMs: Long): Boolean {
        val beganMs = sinceMs
        if (beganMs == null || nowMs - beganMs >= intervalMs) {
            sinceMs = nowMs
            lines = 0
        }
        return ++lines <= maxLines
    }
}
