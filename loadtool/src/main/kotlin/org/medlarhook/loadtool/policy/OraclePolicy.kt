package org.medlarhook.loadtool.policy

import org.medlarhook.core.routing.Candidate
import org.medlarhook.core.routing.Eligibility
import org.medlarhook.core.routing.FinishPredictor
import org.medlarhook.core.routing.RouteDecision
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.RoutingPolicy

/**
 * Reference policy with exact state: chooses the earliest predicted finish, from the current load and the prefix cache
 * of each upstream.
 *
 * @param cachedTokens prompt tokens of a request in the prefix cache of a candidate.
 */
internal class OraclePolicy(
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
