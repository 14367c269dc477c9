package org.medlarhook.core.routing

import kotlin.random.Random

/** Baseline, the power of two choices (Mitzenmacher): of two random candidates, the one with fewer known requests. */
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
