package org.medlarhook.core.routing

import kotlin.random.Random

/** Baseline: takes the one of two random candidates that has fewer requests in flight, as far as known. */
public class TwoChoicesPolicy(
    private val random: Random,
) : RoutingPolicy {
    override fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision {
        val pair = Eligibility.of(request, candidates).shuffled(random).take(2)
        return pair.minByOrNull { it.load.requests }?.chosenFor(request, nowMs) ?: RouteDecision.NoUpstream
    }
}
