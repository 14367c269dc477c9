package org.medlarhook.core.lease

import org.medlarhook.ports.Condition

/**
 * What the holder of a lease shows with each step that it takes outward.
 *
 * @property epoch grows by one each time the lease changes hands.
 * @property epochRowVersion the version of the epoch row; it stands as long as no successor has taken over.
 * @property validUntilMs on the holder's monotonic clock.
 */
public data class Authority(
    val scope: LeaseScope,
    val epoch: Long,
    val epochRowVersion: Long,
    val validUntilMs: Long,
) {
    /** Says whether the holder may take an outward step at [nowMs]; asked immediately before each of them. */
    public fun mayAct(nowMs: Long): Boolean = nowMs < validUntilMs

    /** Holds as long as no successor has taken over; part of each transaction of the holder. */
    public fun condition(): Condition = Condition(scope.epochKey, epochRowVersion)
}
