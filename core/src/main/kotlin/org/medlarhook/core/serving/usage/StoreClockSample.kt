package org.medlarhook.core.serving.usage

/**
 * One reading of the store's clock.
 *
 * @property storeMs the store's clock.
 * @property sentAtMs the monotonic clock of this process when it sent the call.
 * @property answeredAtMs the monotonic clock of this process when the answer had arrived.
 * @property era the era of the store that gave the answer; the clocks of two eras can't be compared.
 */
public data class StoreClockSample(
    val storeMs: Long,
    val sentAtMs: Long,
    val answeredAtMs: Long,
    val era: Long = 0,
) {
    /** How long the call took. */
    public val tookMs: Long get() = answeredAtMs - sentAtMs

    /** The store's clock minus the monotonic clock. It is wrong by at most half of the time that the call took. */
    public val storeMinusMonotonicMs: Long get() = storeMs - (sentAtMs + answeredAtMs) / 2

    /** The values between which the store's clock minus the monotonic clock was when the store answered. */
    public val gapRangeMs: LongRange get() = storeMs - answeredAtMs..storeMs - sentAtMs
}
