package org.medlarhook.core.limit

/** Divides a workspace's limit over the entries. Variants differ in whether shares follow demand. */
public interface ShareAllocator {
    /** The rate that [entryId] may let through, given the newest table and the one before it. */
    public fun sharePerS(
        entryId: String,
        limitPerS: Double,
        newest: DemandTable?,
        previous: DemandTable?,
        entryCount: Int,
    ): Double
}
