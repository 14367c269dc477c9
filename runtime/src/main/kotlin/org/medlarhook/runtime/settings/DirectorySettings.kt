package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.ReplicaSettings

/**
 * How an entry follows the directory.
 *
 * @property pollIntervalMs between two reads of the tables.
 * @property newsLimitMs how old news of the tables may be for keyed routes to be served. A shorter time than
 * [pollIntervalMs] leaves gaps.
 */
@Serializable
public data class DirectorySettings(
    val pollIntervalMs: Long = 3_000,
    val newsLimitMs: Long = 4_500,
) {
    init {
        require(pollIntervalMs >= MIN_POLL_INTERVAL_MS) { "directory.pollIntervalMs must be at least 500" }
        require(newsLimitMs in 1..MAX_NEWS_LIMIT_MS) { "directory.newsLimitMs must be from 1 to $MAX_NEWS_LIMIT_MS" }
    }

    /** The settings of the replica. */
    public fun toReplicaSettings(): ReplicaSettings =
        ReplicaSettings(pollIntervalMs = pollIntervalMs, stalenessLimitMs = newsLimitMs)

    private companion object {
        const val MIN_POLL_INTERVAL_MS = 500L
        const val MAX_NEWS_LIMIT_MS = ReplicaSettings.WITHDRAWAL_BOUND_MS - ReplicaSettings.CLOCK_MARGIN_MS
    }
}
