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
     * @property prefix how the engine that prefills is expected to find the shared prefix; null for a plain service.
     */
    public data class Chosen(
        val upstream: Upstream,
        val prefill: Upstream?,
        val cachedTokens: Int,
        val prefillMs: Double,
        val decodeMs: Double,
        val readyMs: Double,
        val firstEventMs: Double,
        val prefix: ExpectedPrefix? = null,
    ) : Placement

    /**
     * What is expected of the shared prefix of a prompt at the engine that prefills it.
     *
     * @property source an engine from which it should fetch the prefix, or null.
     * @property prefillTokens tokens that are left to prefill if the whole prefix is cached or fetched.
     * @property savedMs time by which the prefill is shorter if the unverified part of the prefix is cached or fetched
     * than if it is not; 0 if all of it is known to be cached.
     * @property hitShare the share of that time that [Chosen.prefillMs] takes as saved.
     * @property roundTripMs the network's share of the predicted time.
     */
    public data class ExpectedPrefix(
        val source: Upstream?,
        val prefillTokens: Int,
        val savedMs: Double,
        val hitShare: Double,
        val roundTripMs: Double,
    )

    /**
     * No upstream can answer in time; the request is expected to be admissible after [admissibleInMs]. [shortage] tells
     * why, or is null if the upstreams themselves refused it.
     */
    public data class NoCapacity(
        val admissibleInMs: Double,
        val shortage: Shortage? = null,
    ) : Placement

    /** All upstreams that the request could go to are closed; the first one opens after [opensInMs]. */
    public data class AllClosed(
        val opensInMs: Long,
    ) : Placement

    /** The service has no upstream that the request could go to. */
    public data object NoUpstream : Placement
}
