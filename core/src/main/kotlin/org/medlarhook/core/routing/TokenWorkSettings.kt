package org.medlarhook.core.routing

/**
 * Settings of [TokenWorkPolicy].
 *
 * @property ownersPerPrefix number of upstreams to which a prefix is assigned.
 * @property maxLoadRatio ratio to the mean backlog up to which an upstream is considered for its prefixes.
 * @property loadSlackMs backlog allowed on top of that, whatever the mean.
 * @property sampleSize number of random candidates considered in the local region, and as many in other regions.
 * @property expectedHitShare share of a prefix that the prefix cache of its owners is expected to hold.
 * @property msPerCostUnit delay of an answer accepted to save one unit of link cost.
 */
public data class TokenWorkSettings(
    val ownersPerPrefix: Int = 2,
    val maxLoadRatio: Double = 1.25,
    val loadSlackMs: Double = 250.0,
    val sampleSize: Int = 2,
    val expectedHitShare: Double = 0.9,
    val msPerCostUnit: Double = 1_000.0,
)
