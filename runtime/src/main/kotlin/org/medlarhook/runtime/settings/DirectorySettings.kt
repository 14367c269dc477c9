package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.ReplicaSettings

/**
 * How an entry keeps its copy of the directory up to date.
 *
 * @property pollIntervalMs interval between reads of the tables.
 * @property newsLimitMs largest staleness of the newest known read of the tables at which keyed routes are served. If
 * it is shorter than [pollIntervalMs], there are gaps between two reads in which they are refused.
 */
@Serializable
public data class DirectorySettings(
    val pollIntervalMs: Long = 3_000,
    val newsLimitMs: Long = 4_500,
) {
    init {
        require(pollIntervalMs >= MIN_POLL_INTERVAL_MS) {
            "directory.pollIntervalMs must be at least $MIN_POLL_INTERVAL_MS ms, is $pollIntervalMs ms"
        }
        require(newsLimitMs in 1..MAX_NEWS_LIMIT_MS) {
            "directory.newsLimitMs must be from 1 ms to $MAX_NEWS_LIMIT_MS ms, is $newsLimitMs ms"
        }
    }

    /** Converts these settings to those of the directory replica. */
    public fun toReplicaSettings(): ReplicaSettings =
        ReplicaSettings(pollIntervalMs = pollIntervalMs, stalenessLimitMs = newsLimitMs)

    private companion object {
        const val MIN_POLL_INTERVAL_MS = 500L
        const val MAX_NEWS_LIMIT_MS = ReplicaSettings.WITHDRAWAL_BOUND_MS - ReplicaSettings.CLOCK_MARGIN_MS
    }
}
