package org.medlarhook.core.order

/**
 * The times of an [OrderApplier].
 *
 * @property pollEveryMs time between two reads of the row without a hint, before jitter.
 * @property retryMs time before a failed call is repeated, before jitter.
 * @property engineSettleMs how long after a lost answer, or a sidecar's end, a call may still reach the engine.
 */
public data class ApplierSettings(
    val pollEveryMs: Long = 30_000,
    val retryMs: Long = 500,
    val engineSettleMs: Long = 10_000,
    val jitterPercent: Int = 20,
)
