package org.medlarhook.core.lease

/** The state of one process with respect to one lease. */
public sealed interface LeaseState {
    /** Number of writes prepared so far, which makes nonces and jitter differ. */
    public val writes: Long

    /** Time from which a tick has an effect. */
    public val nextAtMs: Long

    /**
     * The process waits for the lease to become free.
     *
     * @property seenVersion the version of the lease row in the last read.
     * @property unchangedSinceMs when [seenVersion] was first read, or null before the first read.
     */
    public data class Watching(
        val seenVersion: Long,
        val unchangedSinceMs: Long?,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /**
     * The process has sent a write and does not know its outcome yet.
     *
     * @property releaseWhenSettled true if the lease is to be released once the outcome is known.
     */
    public data class Writing(
        val write: LeaseWrite,
        val releaseWhenSettled: Boolean,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /** The process holds the lease, which may have expired; see [Authority.mayAct]. */
    public data class Holding(
        val lease: HeldLease,
        override val writes: Long,
        override val nextAtMs: Long,
    ) : LeaseState

    /** Final state: the process has released the lease or stopped waiting for it. */
    public data class Released(
        override val writes: Long,
    ) : LeaseState {
        override val nextAtMs: Long get() = Long.MAX_VALUE
    }
}
