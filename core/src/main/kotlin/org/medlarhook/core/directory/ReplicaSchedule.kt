package org.medlarhook.core.directory

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * When a replica acts next.
 *
 * @property pollStartedMs the start of the poll that is under way, or null.
 * @property lastPollStartedMs the start of the newest poll.
 * @property cursor counts the exchanges, to walk through the peers in turn.
 * @property exchangesMs the start of each exchange that is under way.
 * @property fetchStartedMs the start of the newest fetch of changes.
 * @property fetchPeerId the peer of that fetch, or null.
 * @property seed state of the generator behind the jitter.
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
