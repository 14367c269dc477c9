package org.medlarhook.sidecar.engine

/** Counts how long one call has been silent. */
internal class SilenceCounter(
    private val onSilence: () -> Unit,
    @Volatile private var limitMs: Long,
) {
    @Volatile
    private var silentMs = 0L

    /** Notes a sign of life; from now on [nextLimitMs] applies. */
    fun heard(nextLimitMs: Long) {
        silentMs = 0
        limitMs = nextLimitMs
    }

    /** Adds [tickMs] of silence. */
    fun tick(tickMs: Long) {
        silentMs += tickMs
        if (silentMs > limitMs) onSilence()
    }
}
