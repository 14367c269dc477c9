package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Upstream

/** Where a request goes, if anywhere. */
public sealed interface Placement {
    /**
     * It goes to [upstream], after [prefill] has read its prompt if that is set.
     *
     * @property prefillMs the engine's time for reading the prompt, at [prefill] or else at [upstream].
     * @property readyMs the predicted time until [prefill] has read the prompt; 0 without it.
     * @property firstEventMs the predicted time to the first event or the answer.
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

    /** No upstream can answer in time; one may have room in [admissibleInMs]. */
    public data class NoCapacity(
        val admissibleInMs: Double,
    ) : Placement

    /** No upstream of the service is known. */
    public data object NoUpstream : Placement
}
