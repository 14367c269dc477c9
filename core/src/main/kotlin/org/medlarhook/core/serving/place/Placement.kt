package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Upstream

/** Where a request goes, if anywhere. */
public sealed interface Placement {
    /**
     * It goes to [upstream].
     *
     * @property firstTokenMs the predicted time to the first token or the answer.
     */
    public data class Chosen(
        val upstream: Upstream,
        val heldTokens: Int,
        val prefillMs: Double,
        val decodeMs: Double,
        val firstTokenMs: Double,
    ) : Placement

    /** No upstream can answer in time; one may have room in [roomInMs]. */
    public data class NoRoom(
        val roomInMs: Double,
    ) : Placement

    /** No upstream of the service is known. */
    public data object NoUpstream : Placement
}
