package org.medlarhook.core.routing

/**
 * Settings of [TokenWorkPolicy].
 *
 * @property affineCount upstreams that share a prefix.
 * @property loadBound how far over the mean backlog an upstream may be and still be chosen for a prefix.
 * @property loadSlackMs backlog that never counts as too much.
 * @property choices random candidates that are compared.
 * @property expectedHitShare share of a prefix that its upstreams are expected to hold.
 * @property msPerCostUnit how much later an answer may be to save one unit of link cost.
 */
public data class TokenWorkSettings(
    val affineCount: Int = 2,
    val loadBound: Double = 1.25,
    val loadSlackMs: Double = 250.0,
    val choices: Int = 2,
    val expectedHitShare: Double = 0.9,
    val msPerCostUnit: Double = 1_000.0,
)
