package org.medlarhook.core.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Times of the next actions of a replica, and the requests that are under way.
 *
 * @property pollStartedMs the start of the poll that is under way, or null.
 * @property lastPollStartedMs the start of the most recent poll.
 * @property cursor number of exchanges so far; selects the peers round-robin.
 * @property exchangesMs the start of each exchange that is under way, by entry identifier.
 * @property fetchStartedMs the start of the most recent fetch of changes.
 * @property fetchPeerId the peer of that fetch, or null.
 * @property seed state of the [SplitMix64] generator that draws the jitter.
 */
public data class ReplicaSchedule(
    val nextPollMs: Long,
    val pollStartedMs: Long? = null,
    val lastPollStartedMs: Long = Long.MIN_VALUE / 2,
    val nextEntriesMs: Long,
    val nextVmListMs: Long,
    val nextExchangeMs: Long,
    val cursor: Int = 0,
    val exchangesMs: PersistentMap<String, Long> = persistentMapOf(),
    val fetchStartedMs: Long = Long.MIN_VALUE / 2,
    val fetchPeerId: String? = null,
    val seed: Long,
)
