package org.medlarhook.core.routing

/** Baseline: takes the candidate with the fewest requests that this entry has in flight. */
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
