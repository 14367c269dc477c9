package org.medlarhook.core.routing

/**
 * A load report of an upstream.
 *
 * @property work queued and running work from all entries.
 * @property requests queued and running requests from all entries.
 * @property speed speed of the upstream.
 */
public data class LoadReport(
    val work: WorkTokens,
    val requests: Int,
    val speed: EngineSpeed,
    val reportedAtMs: Long,
)
