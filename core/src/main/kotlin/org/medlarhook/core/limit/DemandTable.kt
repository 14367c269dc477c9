package org.medlarhook.core.limit

/**
 * The demand on one workspace's limit in one round of the exchange: the same at every entry that has the round.
 *
 * @property demandByEntry what callers asked of each entry, taken or refused, per second.
 */
public data class DemandTable(
    val round: Long,
    val demandByEntry: Map<String, Double>,
)
