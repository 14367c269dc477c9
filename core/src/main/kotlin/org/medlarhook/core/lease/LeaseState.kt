package org.medlarhook.core.lease

/** Where a process stands with one lease. */
public sealed interface LeaseState {
    /** Writes prepared so far; makes nonces and jitter differ. */
    public val writes: Long

    /** When the next tick does something. */
    public val nextAtMs: Long

    /** Waits for the lease to become free. [unchangedSinceMs] is when [seenVersion] was read first, null if never. */
    public data class Watching(
        val seenVersion: Long,
        val unchangedSinceMs: Long?,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /** Has sent a write and does not know its outcome. */
    public data class Writing(
        val write: LeaseWrite,
        val releaseWhenSettled: Boolean,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /** Holds the lease. Whether it still lasts is for [Authority.mayAct] to say. */
    public data class Holding(
        val lease: HeldLease,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /** Has handed the lease back or stopped waiting for it, for good. */
    public data class Released(
        override val writes: Long,
    ) : LeaseState {
        override val nextAtMs: Long get() = Long.MAX_VALUE
    }
}
