package org.medlarhook.entry.call

import org.medlarhook.core.call.AttemptLimits
import org.medlarhook.core.call.CallRetryBudget
import org.medlarhook.core.call.GenerationMachine
import org.medlarhook.core.claim.AtMostOnceMachine
import org.medlarhook.entry.claim.ClaimStore
import org.medlarhook.entry.directory.DirectoryView
import org.medlarhook.entry.routing.UpstreamChooser
import org.medlarhook.entry.routing.UpstreamLoads
import org.medlarhook.entry.upstream.SidecarClient
import org.medlarhook.entry.upstream.UpstreamPool
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.settings.CallSettings

/** Dependencies that all requests of an entry share. */
internal class CallServices(
    val directory: DirectoryView,
    val pool: UpstreamPool,
    val chooser: UpstreamChooser,
    val loads: UpstreamLoads,
    val client: SidecarClient,
    val claims: ClaimStore,
    val retryBudget: CallRetryBudget,
    val time: TimeSource,
    val settings: CallSettings,
    val openRequests: OpenRequests,
    val metrics: CallMetrics,
) {
    private val limits =
        AttemptLimits(
            maxAttempts = settings.maxAttempts,
            firstEventTimeoutMs = settings.firstEventTimeoutMs,
            silenceTimeoutMs = settings.silenceTimeoutMs,
        )

    /** State machine of generations. */
    val generationMachine = GenerationMachine(limits)

    /** State machine of calls of plain services. */
    val atMostOnceMachine = AtMostOnceMachine(limits)
}
