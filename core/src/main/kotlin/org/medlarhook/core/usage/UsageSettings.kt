package org.medlarhook.core.usage

/**
 * Settings of a usage collector. Windows count on the wall clock of the collector.
 *
 * @property windowMs length of a window.
 * @property freezeAfterMs how long after its end a window is frozen: covers late receipts and clocks that differ.
 * @property batchesBeforeCompaction bounds what a successor has to read.
 * @property sourceRetentionMs how long the receipts of a replaced sidecar are told apart.
 */
public data class UsageSettings(
    val windowMs: Long = 300_000,
    val freezeAfterMs: Long = 30_000,
    val batchesBeforeCompaction: Int = 32,
    val sourceRetentionMs: Long = SOURCE_RETENTION_MS,
) {
    /** The start of the window that holds [wallMs]. */
    public fun windowStart(wallMs: Long): Long = wallMs - Math.floorMod(wallMs, windowMs)

    private companion object {
        const val SOURCE_RETENTION_MS = 7L * 24 * 3_600_000
    }
}
