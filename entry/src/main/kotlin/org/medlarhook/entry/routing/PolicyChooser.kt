package org.medlarhook.entry.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.admission.AdmissionDecision
import org.medlarhook.core.admission.AdmissionPolicy
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.Candidate
import org.medlarhook.core.routing.Link
import org.medlarhook.core.routing.RouteDecision
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.RoutingPolicy
import org.medlarhook.entry.upstream.UpstreamLink
import org.medlarhook.runtime.settings.RoutingSettings
import org.medlarhook.protocol.UpstreamRole as WireRole

/** Chooses by a routing policy, and refuses at once a request that is predicted to miss its deadline. */
internal class PolicyChooser(
    private val policy: RoutingPolicy,
    private val admission: AdmissionPolicy,
    private val loads: UpstreamLoads,
    private val localRegion: String,
    private val settings: RoutingSettings,
) : UpstreamChooser {
    override fun choose(
        request: RouteRequest,
        candidates: List<UpstreamLink>,
        nowMs: Long,
    ): Either<Failure, UpstreamLink> {
        val decision = policy.choose(request, candidates.map { candidate(it, request, nowMs) }, nowMs)
        val chosen = decision as? RouteDecision.Chosen ?: return noUpstream().left()
        retryAfterMs(chosen, request, nowMs)?.let { return deadlineUnreachable(it).left() }
        return candidates.first { it.registration.upstreamId == chosen.upstreamId }.right()
    }

    /**
     * Returns the time after which the client should retry, or null if the request is not refused here. An entry can
     * predict only from the maximum length of the output. A request that would miss its deadline even on an idle
     * upstream is therefore sent to the sidecar, which decides by the usual output length that it has measured.
     */
    private fun retryAfterMs(chosen: RouteDecision.Chosen, request: RouteRequest, nowMs: Long): Long? {
        val decision = admission.decide(chosen.prediction, request.deadlineMs, nowMs)
        return (decision as? AdmissionDecision.Refuse)?.retryAfterMs
    }

    private fun candidate(upstream: UpstreamLink, request: RouteRequest, nowMs: Long): Candidate {
        val registration = upstream.registration
        return Candidate(
            upstreamId = registration.upstreamId,
            dataCentre = registration.dataCentre,
            region = registration.region,
            role = upstream.status?.role.toRole(),
            accepting = upstream.isAccepting,
            served = setOf(request.model),
            load = loads.estimate(registration.upstreamId, nowMs),
            link = linkTo(registration.region),
            health = loads.health(registration.upstreamId, nowMs),
        )
    }

    private fun linkTo(region: String): Link =
        if (region == localRegion) {
            Link(settings.sameRegionMs)
        } else {
            Link(settings.otherRegionMs, settings.otherRegionCostPerMb)
        }

    private fun WireRole?.toRole(): UpstreamRole =
        when (this) {
            WireRole.PREFILL -> UpstreamRole.PREFILL
            WireRole.DECODE -> UpstreamRole.DECODE
            WireRole.SERVICE -> UpstreamRole.SERVICE
            WireRole.MIXED, WireRole.ROLE_UNSPECIFIED, WireRole.UNRECOGNIZED, null -> UpstreamRole.MIXED
        }

    private fun noUpstream() = Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)

    private fun deadlineUnreachable(retryAfterMs: Long) =
        Failure(ResultCode.DEADLINE_UNREACHABLE, RunState.NOT_RUN, retryAfterMs = retryAfterMs)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
