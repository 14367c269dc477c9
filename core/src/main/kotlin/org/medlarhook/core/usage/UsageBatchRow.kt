package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * What one commit of a collector adds. A compacted batch holds everything that the batches before it added.
 *
 * @property floors the lowest incarnation of an upstream whose receipts are still taken.
 */
@Serializable
public data class UsageBatchRow(
    val amounts: List<BatchAmount> = emptyList(),
    val progress: List<SourceProgress> = emptyList(),
    val floors: Map<String, Long> = emptyMap(),
)

/** An amount under its key. */
@Serializable
public data class BatchAmount(
    val key: UsageKey,
    val amount: UsageAmount,
)

/** The committed receipts of a source, and when the collector's clock last saw one. */
@Serializable
public data class SourceProgress(
    val source: ReceiptSource,
    val committed: SequenceSet,
    val lastSeenMs: Long,
)
