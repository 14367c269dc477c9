package org.medlarhook.core.routing

import java.util.concurrent.atomic.AtomicInteger

/** Baseline that chooses the eligible candidates in turn. */
public class RoundRobinPolicy : RoutingPolicy {
    private val nextIndex = AtomicInteger()

    override fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision {
        val eligible = Eligibility.of(request, candidates)
        if (eligible.isEmpty()) return RouteDecision.NoUpstream
        return eligible[Math.floorMod(nextIndex.getAndIncrement(), eligible.size)].chosenFor(request, nowMs)
    }
}

/** The decision for this candidate, predicted without any prompt token in the prefix cache. */
internal fun Candidate.chosenFor(request: RouteRequest, nowMs: Long): RouteDecision.Chosen =
    RouteDecision.Chosen(upstreamId, FinishPredictor.predict(request, this, cachedTokens = 0, nowMs))
