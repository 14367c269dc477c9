package org.medlarhook.core.limit

/**
 * Shares that follow demand.
 *
 * An entry holds the smaller of its shares in the newest two rounds. While the rounds known at any two entries differ
 * by at most one, each share is then bounded by the share in a common round, and these add up to the limit: the sum
 * over all entries never exceeds the limit, with no write per request and no agreement. An entry that is not in the
 * tables yet holds an equal part of a reserve, which covers as many newcomers as there are entries.
 */
public class DemandShares(
    private val reserveShare: Double = 0.1,
    private val floorShare: Double = 0.2,
) : ShareAllocator {
    override fun sharePerS(
        entryId: String,
        limitPerS: Double,
        newest: DemandTable?,
        previous: DemandTable?,
        entryCount: Int,
    ): Double {
        val newcomerPerS = limitPerS * reserveShare / entryCount.coerceAtLeast(1)
        val sharesPerS = listOfNotNull(newest, previous).map { inTable(entryId, limitPerS, it) ?: newcomerPerS }
        return sharesPerS.minOrNull() ?: newcomerPerS
    }

    private fun inTable(entryId: String, limitPerS: Double, table: DemandTable): Double? {
        val demandPerS = table.demandByEntry[entryId] ?: return null
        val sumPerS = table.demandByEntry.values.sum()
        val equal = 1.0 / table.demandByEntry.size
        val byDemand = if (sumPerS > 0) demandPerS / sumPerS else equal
        return limitPerS * (1 - reserveShare) * (floorShare * equal + (1 - floorShare) * byDemand)
    }
}
