package org.medlarhook.core.attempt

/** Decides for each attempt whether it may start. Implementations need not be thread-safe. */
public interface AttemptRegistry<A> {
    /** The share of the memory for attempts that is in use, from 0 to 1. At 1 nothing more is accepted or sealed. */
    public val usedShare: Double

    /** Starts the memory of a higher incarnation; attempts for earlier ones are no longer accepted. */
    public fun renew(incarnation: Long)

    /** Takes note of an attempt that arrived. */
    public fun accept(attemptId: String, incarnation: Long): Acceptance

    /** Marks an accepted attempt as running; false if it was sealed or started before. */
    public fun start(attemptId: String): Boolean

    /** Gives up an accepted attempt before its start, which seals it; false if it has started. */
    public fun abandon(attemptId: String): Boolean

    /** Marks a running attempt as finished and retains [answer] of [answerBytes] within the limits. */
    public fun finish(attemptId: String, answer: A?, answerBytes: Long)

    /** Seals the attempt unless it has started, and tells its status. */
    public fun seal(attemptId: String, incarnation: Long): AttemptStatus<A>
}
