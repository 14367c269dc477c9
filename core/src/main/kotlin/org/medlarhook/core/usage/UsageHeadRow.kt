package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * The row that each commit of a shard's collector replaces, so that a commit that arrives late finds it changed.
 *
 * @property firstBatch the oldest batch that still counts.
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
    /** How many batches a successor has to read. */
    public val batchCount: Long get() = lastBatch - firstBatch + 1
}
