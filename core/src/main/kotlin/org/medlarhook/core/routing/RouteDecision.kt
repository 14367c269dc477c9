package org.medlarhook.core.routing

/** The answer of a [RoutingPolicy]. */
public sealed interface RouteDecision {
    /** Send the request to [upstreamId]; the whole answer is expected back as [prediction] says. */
    public data class Chosen(
        val upstreamId: String,
        val prediction: FinishPrediction,
    ) : RouteDecision

    /** No candidate may take the request. */
    public data object NoUpstream : RouteDecision
}
