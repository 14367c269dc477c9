package org.medlarhook.core.usage

/**
 * Settings of a usage collector. Windows are aligned to the wall clock of the collector.
 *
 * @property windowMs length of a window.
 * @property freezeAfterMs time from the end of a window until it is frozen, for late receipts and differing clocks.
 * @property batchesBeforeCompaction maximum number of batches, which limits what a successor has to read.
 * @property sourceRetentionMs time for which receipts of a replaced sidecar are accepted and recognised one by one.
 * After it they are all ignored.
 */
public data class UsageSettings(
    val windowMs: Long = 300_000,
    val freezeAfterMs: Long = 30_000,
    val batchesBeforeCompaction: Int = 32,
    val sourceRetentionMs: Long = SOURCE_RETENTION_MS,
) {
    /** Returns the start of the window that contains [wallMs]. */
    public fun windowStart(wallMs: Long): Long = wallMs - Math.floorMod(wallMs, windowMs)

    private companion object {
        const val SOURCE_RETENTION_MS = 7L * 24 * 3_600_000
    }
}
