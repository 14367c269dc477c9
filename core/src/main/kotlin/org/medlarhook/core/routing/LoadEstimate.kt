package org.medlarhook.core.routing

/**
 * An entry's estimate of the work at an upstream.
 *
 * @property own what this entry has in flight there.
 * @property others what the rest of the entries have there, discounted by the age of the report.
 */
public data class LoadEstimate(
    val own: WorkTokens = WorkTokens.NONE,
    val ownRequests: Int = 0,
    val others: WorkTokens = WorkTokens.NONE,
    val othersRequests: Double = 0.0,
    val speed: EngineSpeed,
) {
    /** The work of all entries. */
    val work: WorkTokens get() = own + others

    /** The requests of all entries. */
    val requests: Double get() = ownRequests + othersRequests
}
