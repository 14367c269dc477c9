package org.medlarhook.core.lease

import org.medlarhook.ports.Condition

/**
 * Proof that a process holds a lease. The holder checks it before each outbound call and passes it along with writes.
 *
 * @property epoch grows each time the lease passes to another holder: by one within an era of the tables.
 * @property epochRowVersion the version of the epoch row, which changes only when a successor takes over.
 * @property validUntilMs expiry of the lease on the holder's monotonic clock.
 */
public data class Authority(
    val scope: LeaseScope,
    val epoch: Long,
    val epochRowVersion: Long,
    val validUntilMs: Long,
) {
    /** True if the holder may make an outbound call at [nowMs]. Callers check this immediately before each call. */
    public fun mayAct(nowMs: Long): Boolean = nowMs < validUntilMs

    /** The fencing condition in each transaction of the holder, which fails once a successor has taken over. */
    public fun condition(): Condition = Condition(scope.epochKey, epochRowVersion)
}
