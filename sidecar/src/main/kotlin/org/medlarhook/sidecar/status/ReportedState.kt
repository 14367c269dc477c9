package org.medlarhook.sidecar.status

import org.medlarhook.protocol.UpstreamRole

/** What orders have made of the upstream, as told to entries. */
internal data class ReportedState(
    val role: UpstreamRole,
    val models: List<ReportedModel>,
    val orderGeneration: Long = 0,
)
