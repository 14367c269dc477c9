package org.medlarhook.core.routing

/** The decision of a [RoutingPolicy]. */
public sealed interface RouteDecision {
    /** Send the request to [upstreamId]; [prediction] is the time at which the entry has the whole answer. */
    public data class Chosen(
        val upstreamId: String,
        val prediction: FinishPrediction,
    ) : RouteDecision

    /** No candidate is eligible for the request. */
    public data object NoUpstream : RouteDecision
}
