package org.medlarhook.core.routing

/**
 * An entry's estimate of the work at an upstream.
 *
 * @property own work in flight from this entry.
 * @property ownRequests requests in flight from this entry.
 * @property others work in flight from all other entries, discounted by the age of the load report.
 * @property othersRequests requests in flight from all other entries, discounted likewise.
 * @property speed speed of the upstream.
 */
public data class LoadEstimate(
    val own: WorkTokens = WorkTokens.NONE,
    val ownRequests: Int = 0,
    val others: WorkTokens = WorkTokens.NONE,
    val othersRequests: Double = 0.0,
    val speed: EngineSpeed,
) {
    /** The estimated work from all entries. */
    val work: WorkTokens get() = own + others

    /** The estimated number of requests from all entries. */
    val requests: Double get() = ownRequests + othersRequests
}
