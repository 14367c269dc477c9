package org.medlarhook.core.attempt

/**
 * Records the attempts of one sidecar and decides for each whether it may start.
 *
 * To seal an attempt is to refuse it for good: it has not started and never will. Implementations need not be
 * thread-safe.
 */
public interface AttemptRegistry<A> {
    /** The share of the memory for attempts in use, from 0 to 1. At 1 no unknown attempt is accepted or sealed. */
    public val usedShare: Double

    /** Begins a higher incarnation; attempts sent to earlier ones are no longer accepted. */
    public fun renew(incarnation: Long)

    /** Records an attempt that arrived for [incarnation], and decides whether it may start. */
    public fun accept(attemptId: String, incarnation: Long): Acceptance

    /** Marks an accepted attempt as running. Returns false if it is not accepted or has started before. */
    public fun start(attemptId: String): Boolean

    /** Seals an accepted attempt that has not started. Returns false if it is not accepted or has started. */
    public fun abandon(attemptId: String): Boolean

    /** Marks a running attempt as finished, and retains [answer] of [answerBytes] bytes within the limits. */
    public fun finish(attemptId: String, answer: A?, answerBytes: Long)

    /** Seals the attempt unless it has started, and returns its status. */
    public fun seal(attemptId: String, incarnation: Long): AttemptStatus<A>
}
