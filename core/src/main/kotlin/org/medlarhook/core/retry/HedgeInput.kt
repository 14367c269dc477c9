package org.medlarhook.core.retry

/**
 * The input of a [HedgePolicy] for one call.
 *
 * @property idempotent whether the call may run twice.
 * @property typicalFirstByteMs the 95th percentile of the time to the first byte.
 * @property alternativeFinishMs predicted finish at another upstream, or null if there is none.
 */
public data class HedgeInput(
    val idempotent: Boolean,
    val sentAtMs: Long,
    val firstByteSeen: Boolean,
    val typicalFirstByteMs: Long,
    val alternativeFinishMs: Long?,
    val deadlineMs: Long,
)
