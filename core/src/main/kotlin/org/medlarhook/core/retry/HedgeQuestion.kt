package org.medlarhook.core.retry

/**
 * What a [HedgePolicy] needs to know.
 *
 * @property idempotent whether the call may run twice.
 * @property typicalFirstByteMs the 95th percentile of the time to the first byte.
 * @property alternativeFinishMs predicted finish elsewhere, or null if there is nowhere to go.
 */
public data class HedgeQuestion(
    val idempotent: Boolean,
    val sentAtMs: Long,
    val firstByteSeen: Boolean,
    val typicalFirstByteMs: Long,
    val alternativeFinishMs: Long?,
    val deadlineMs: Long,
)
