package org.medlarhook.standins.platform

/**
 * Limits of the platform stand-in.
 *
 * @property maxReadsPerS reads and scans of the tables per second; calls above the limit are refused.
 * @property maxWritesPerS rows written per second; transactions above the limit are refused.
 * @property vmLagMs delay after which a change of the VM list becomes visible to readers.
 */
internal data class PlatformOptions(
    val maxReadsPerS: Int = DEFAULT_MAX_READS_PER_S,
    val maxWritesPerS: Int = DEFAULT_MAX_WRITES_PER_S,
    val vmLagMs: Long = DEFAULT_VM_LAG_MS,
) {
    companion object {
        const val DEFAULT_MAX_READS_PER_S = 2_000
        const val DEFAULT_MAX_WRITES_PER_S = 500
        const val DEFAULT_VM_LAG_MS = 2_000L
    }
}
