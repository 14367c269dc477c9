package org.medlarhook.core.limit

/**
 * The demand on one workspace's limit in one round of the exchange between entries. The table of a round is the same at
 * every entry that has it.
 *
 * @property demandByEntry tokens per second requested from each entry, including requests that it refused.
 */
public data class DemandTable(
    val round: Long,
    val demandByEntry: Map<String, Double>,
)
