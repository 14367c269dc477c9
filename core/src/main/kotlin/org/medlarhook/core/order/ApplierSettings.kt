package org.medlarhook.core.order

/**
 * Intervals and time-outs of an [OrderApplier].
 *
 * @property pollEveryMs time between two reads of the order row if no hint arrives, before jitter.
 * @property retryMs time before the retry of a failed call, before jitter.
 * @property engineSettleMs longest time in which a call can still reach the engine after its answer was lost or
 *   its sidecar has ended.
 * @property jitterPercent random variation of the intervals.
 */
public data class ApplierSettings(
    val pollEveryMs: Long = 30_000,
    val retryMs: Long = 500,
    val engineSettleMs: Long = 10_000,
    val jitterPercent: Int = 20,
)
