package org.medlarhook.core.routing

/** Baseline that chooses the candidate with the fewest requests in flight from this entry. */
public class LeastOutstandingPolicy : RoutingPolicy {
    override fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision {
        val best = Eligibility.of(request, candidates).minByOrNull { it.load.ownRequests }
        return best?.chosenFor(request, nowMs) ?: RouteDecision.NoUpstream
    }
}
