package org.medlarhook.standins.platform

/** Limits of the platform stand-in. */
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
