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

/** Chooses by a routing policy, and refuses at once what can't be in time. */
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
        val chosen = decision as? RouteDecision.Chosen ?: return none().left()
        retryAfterMs(chosen, request, nowMs)?.let { return late(it).left() }
        return candidates.first { it.registration.upstreamId == chosen.upstreamId }.right()
    }

    /**
     * When to come back, or null if the request may go on. The longest possible output is all that an entry knows, so a
     * request that would be late on an idle upstream is left to the sidecar, which has measured the usual length.
     */
    private fun retryAfterMs(chosen: RouteDecision.Chosen, request: RouteRequest, nowMs: Long): Long? {
        val decision = admission.decide(chosen.prediction, request.deadlineMs, nowMs)
        return (decision as? AdmissionDecision.Refuse)?.retryAfterMs
    }

    private fun candidate(link: UpstreamLink, request: RouteRequest, nowMs: Long): Candidate {
        val to = link.registration
        return Candidate(
            upstreamId = to.upstreamId,
            dataCentre = to.dataCentre,
            region = to.region,
            role = link.status?.role.toRole(),
            accepting = link.isAccepting,
            served = setOf(request.model),
            load = loads.estimate(to.upstreamId, nowMs),
            link = linkTo(to.region),
            health = loads.health(to.upstreamId, nowMs),
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

    private fun none() = Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)

    private fun late(retryAfterMs: Long) =
        Failure(ResultCode.DEADLINE_UNREACHABLE, RunState.NOT_RUN, retryAfterMs = retryAfterMs)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
