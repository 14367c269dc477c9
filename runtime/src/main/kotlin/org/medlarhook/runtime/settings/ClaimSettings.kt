package org.medlarhook.runtime.settings

import kotlinx.serialization.Serializable

/**
 * How an entry records idempotency keys.
 *
 * @property groupWaitMs how long a write waits for others to share its transaction.
 * @property maxGroupSize rows in one transaction.
 * @property maxQueued writes that wait; more are refused.
 * @property maxInlineBodyBytes larger answers go to the object store.
 * @property retentionMs age after which a claim is deleted and its key may be used anew.
 * @property sweepIntervalMs time between two sweeps over old claims; each reads at most one page.
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
