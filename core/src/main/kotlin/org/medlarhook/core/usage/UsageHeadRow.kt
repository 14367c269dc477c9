package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * The head row of a shard. Each commit of the collector replaces it on the condition that it is unchanged, so that a
 * delayed commit fails.
 *
 * @property firstBatch the oldest batch that is not replaced by a compacted one.
 * @property lastBatch the newest batch; 0 if there is none.
 * @property openWindowStartMs the oldest window that is not frozen.
 * @property unsentWindowStartMs the oldest window that is not known to be delivered.
 */
@Serializable
public data class UsageHeadRow(
    val firstBatch: Long = 1,
    val lastBatch: Long = 0,
    val openWindowStartMs: Long,
    val unsentWindowStartMs: Long = openWindowStartMs,
) {
    /** Number of batches that a successor has to read. */
    public val batchCount: Long get() = lastBatch - firstBatch + 1
}
