package org.medlarhook.core.limit

/** Baseline that gives every entry the same share. */
public object EqualShares : ShareAllocator {
    override fun sharePerS(
        entryId: String,
        limitPerS: Double,
        newest: DemandTable?,
        previous: DemandTable?,
        entryCount: Int,
    ): Double = limitPerS / entryCount.coerceAtLeast(1)
}
