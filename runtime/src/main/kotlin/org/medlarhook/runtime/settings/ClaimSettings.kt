package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * How an entry records idempotency keys.
 *
 * @property groupWaitMs longest time that a write waits for other writes to share its transaction.
 * @property maxGroupSize largest number of rows in one transaction.
 * @property maxQueued largest number of queued writes; further ones are refused.
 * @property maxInlineBodyBytes largest answer stored in the row itself; larger ones go to the object store.
 * @property retentionMs age after which a claim is deleted, so that its idempotency key may be reused.
 * @property sweepIntervalMs interval between sweeps that delete old claims; each sweep reads at most one page.
 */
@Serializable
public data class ClaimSettings(
    val groupWaitMs: Long = 2,
    val maxGroupSize: Int = 64,
    val maxQueued: Int = 4_096,
    val maxInlineBodyBytes: Int = 16_384,
    val retentionMs: Long = 86_400_000,
    val sweepIntervalMs: Long = 60_000,
)
