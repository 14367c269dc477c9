package org.medlarhook.core.limit

/** Divides the rate limit of a workspace among the entries, equally or in proportion to demand. */
public interface ShareAllocator {
    /**
     * The rate that [entryId] may admit, in tokens per second.
     *
     * @param newest the demand of the newest round that the entry knows, or null.
     * @param previous the demand of the round before it, or null.
     */
    public fun sharePerS(
        entryId: String,
        limitPerS: Double,
        newest: DemandTable?,
        previous: DemandTable?,
        entryCount: Int,
    ): Double
}
