package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.Candidate
import org.medlarhook.core.routing.Eligibility
import org.medlarhook.core.routing.FinishPredictor
import org.medlarhook.core.routing.RouteDecision
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.RoutingPolicy

/** Reference: knows the true load of each upstream and what its cache holds, and takes the earliest finish. */
internal class KnowingPolicy(
    private val cachedTokens: (RouteRequest, Candidate) -> Long,
) : RoutingPolicy {
    override fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision {
        val options =
            Eligibility.of(request, candidates).map {
                RouteDecision.Chosen(
                    it.upstreamId,
                    FinishPredictor.predict(request, it, cachedTokens(request, it), nowMs),
                )
            }
        return options.minByOrNull { it.prediction.finishMs } ?: RouteDecision.NoUpstream
    }
}
