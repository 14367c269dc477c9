package org.medlarhook.core.fairness

/**
 * A bounded queue of requests that wait for an upstream. Implementations are not thread-safe; callers synchronise.
 *
 * Costs are in tokens, and deadlines are on the clock of `nowMs`. [poll] skips an item whose deadline has passed; it
 * stays in the queue until [expire] removes it.
 */
public interface RequestQueue<T> {
    /** The number of items held, including expired items that [expire] has not removed yet. */
    public val size: Int

    /** The total cost of the items held. */
    public val queuedTokens: Long

    /** The total cost of the items of [workspace]. */
    public fun queuedTokens(workspace: String): Long

    /** The total cost served before a new item of [costTokens] of [workspace], if no other item arrives. */
    public fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long

    /**
     * Adds [item], or refuses it. Implementations that use [priority] serve the items of one workspace by descending
     * priority, then by deadline.
     */
    public fun offer(
        workspace: String,
        weight: Int,
        costTokens: Long,
        priority: Int,
        deadlineMs: Long,
        nowMs: Long,
        item: T,
    ): OfferResult<T>

    /** Removes and returns the next item to serve, or null if no item has a deadline after [nowMs]. */
    public fun poll(nowMs: Long): T?

    /** Removes and returns a cancelled item; null if it is no longer in the queue. */
    public fun remove(ticket: Ticket): T?

    /** Removes and returns the items whose deadline has passed. */
    public fun expire(nowMs: Long): List<T>
}
