package org.medlarhook.core.usage

import kotlinx.serialization.Serializable

/**
 * The usage that one commit of a collector adds. A compacted batch replaces all batches before it and holds their sum.
 *
 * @property floors the lowest incarnation of each upstream whose receipts are still accepted.
 */
@Serializable
public data class UsageBatchRow(
    val amounts: List<BatchAmount> = emptyList(),
    val progress: List<SourceProgress> = emptyList(),
    val floors: Map<String, Long> = emptyMap(),
)

/** The amount that a batch adds to one key. */
@Serializable
public data class BatchAmount(
    val key: UsageKey,
    val amount: UsageAmount,
)

/** The committed receipts of a source, and when a receipt was last committed by the collector's wall clock. */
@Serializable
public data class SourceProgress(
    val source: ReceiptSource,
    val committed: SequenceSet,
    val lastSeenMs: Long,
)
