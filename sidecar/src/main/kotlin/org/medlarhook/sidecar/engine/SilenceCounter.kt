package org.medlarhook.sidecar.engine

/** Counts the time since the last token, or the start, of one engine call. */
internal class SilenceCounter(
    private val onSilence: () -> Unit,
    @Volatile private var limitMs: Long,
) {
    @Volatile
    private var silentMs = 0L

    /** Restarts the count after a token; from now on the limit is [nextLimitMs]. */
    fun reset(nextLimitMs: Long) {
        silentMs = 0
        limitMs = nextLimitMs
    }

    /** Adds [tickMs] to the count and calls [onSilence] if the limit is exceeded. */
    fun tick(tickMs: Long) {
        silentMs += tickMs
        if (silentMs > limitMs) onSilence()
    }
}
