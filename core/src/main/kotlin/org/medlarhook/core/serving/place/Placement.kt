package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Upstream

/** The upstreams that serve a request, or why there are none. */
public sealed interface Placement {
    /**
     * The request goes to [upstream]; if [prefill] is not null, that engine prefills the prompt first.
     *
     * @property cachedTokens prompt tokens expected in the prefix cache of the engine that prefills.
     * @property prefillMs the engine's time to prefill the prompt, at [prefill], or at [upstream] if that is null.
     * @property decodeMs the predicted time to decode the output; for a plain service, to run the call.
     * @property readyMs the predicted time until [prefill] has prefilled the prompt; 0 if it is null.
     * @property firstEventMs the predicted time to the first event, or to the answer of a plain service.
     */
    public data class Chosen(
        val upstream: Upstream,
        val prefill: Upstream?,
        val cachedTokens: Int,
        val prefillMs: Double,
        val decodeMs: Double,
        val readyMs: Double,
        val firstEventMs: Double,
    ) : Placement

    /** No upstream can answer in time; the request is expected to be admissible after [admissibleInMs]. */
    public data class NoCapacity(
        val admissibleInMs: Double,
    ) : Placement

    /** The service has no upstream that the request could go to. */
    public data object NoUpstream : Placement
}
