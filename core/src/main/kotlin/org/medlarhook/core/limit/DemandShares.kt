package org.medlarhook.core.limit

/**
 * Divides the limit in proportion to demand.
 *
 * An entry uses the smaller of its shares in the newest two rounds. While the newest rounds known to any two entries
 * differ by at most one, each share is bounded by the entry's share in a round that all entries know, and the shares of
 * one round add up to the limit. The sum over all entries therefore never exceeds the limit, with no write per request
 * and no consensus. An entry that is not in the tables yet gets an equal part of a reserve, which is divided among as
 * many unlisted entries as there are entries in all.
 *
 * @param reserveShare share of the limit reserved for entries that are not in the tables yet.
 * @param floorShare share of the rest that is divided equally, so that an entry without demand keeps a minimum rate.
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
        val unlistedSharePerS = limitPerS * reserveShare / entryCount.coerceAtLeast(1)
        val sharesPerS =
            listOfNotNull(newest, previous).map { shareInRound(entryId, limitPerS, it) ?: unlistedSharePerS }
        return sharesPerS.minOrNull() ?: unlistedSharePerS
    }

    private fun shareInRound(entryId: String, limitPerS: Double, table: DemandTable): Double? {
        val demandPerS = table.demandByEntry[entryId] ?: return null
        val sumPerS = table.demandByEntry.values.sum()
        val equalShare = 1.0 / table.demandByEntry.size
        val demandShare = if (sumPerS > 0) demandPerS / sumPerS else equalShare
        return limitPerS * (1 - reserveShare) * (floorShare * equalShare + (1 - floorShare) * demandShare)
    }
}
