package org.medlarhook.sidecar.status

import org.medlarhook.protocol.UpstreamRole

/** The part of the upstream's state that orders change, as reported to entries. */
internal data class ReportedState(
    val role: UpstreamRole,
    val models: List<ReportedModel>,
    val orderGeneration: Long = 0,
)
