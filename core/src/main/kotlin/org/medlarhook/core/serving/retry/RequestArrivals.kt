package org.medlarhook.core.serving.retry

/**
 * The arrivals of one request at upstreams, as the retry budget counts them.
 *
 * The first arrival is free, and so is the first prefill that an upstream accepts. Each other arrival is a retry, also
 * if the upstream rejects it. Whether a prefill is accepted shows only after it was sent, so that it costs as much as
 * any other arrival until then.
 */
public data class RequestArrivals(
    private val isFirstLeft: Boolean = true,
    private val isPrefillLeft: Boolean = true,
) {
    /** The cost of sending the request, or with [isPrefill] its prefill, to an upstream now. */
    public fun costOf(isPrefill: Boolean): ArrivalCost =
        if (isFirstLeft && (isPrefillLeft || !isPrefill)) ArrivalCost.NONE else ArrivalCost.RETRY

    /** Counts an arrival that has cost [cost]. */
    public fun sent(cost: ArrivalCost): RequestArrivals =
        if (cost == ArrivalCost.NONE) copy(isFirstLeft = false) else this

    /** Takes back an arrival that has cost [cost], because it did not reach its upstream. */
    public fun notSent(cost: ArrivalCost): RequestArrivals =
        if (cost == ArrivalCost.NONE) copy(isFirstLeft = true) else this

    /** True if a prefill that an upstream has accepted gets its cost back. */
    public val returnsPrefill: Boolean get() = isPrefillLeft

    /** Takes back a prefill that has cost [cost], because it is the first one that an upstream has accepted. */
    public fun prefillAccepted(cost: ArrivalCost): RequestArrivals =
        if (returnsPrefill) notSent(cost).copy(isPrefillLeft = false) else this
}
