package org.medlarhook.core.routing

/** Chooses the upstream of a request. Implementations keep no state except a random source or a counter. */
public interface RoutingPolicy {
    /** Chooses one of [candidates] for [request]. */
    public fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision
}
