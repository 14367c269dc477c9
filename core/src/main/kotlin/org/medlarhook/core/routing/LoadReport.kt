package org.medlarhook.core.routing

/** An upstream's report of its load. [requests] and [work] count queued and running work of all entries. */
public data class LoadReport(
    val work: WorkTokens,
    val requests: Int,
    val speed: EngineSpeed,
    val reportedAtMs: Long,
)
