package org.medlarhook.core.routing

/** Chooses the upstream of a request. Implementations keep no state but their source of randomness. */
public interface RoutingPolicy {
    /** Chooses one of [candidates] for [request]. */
    public fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision
}
