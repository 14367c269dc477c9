package org.medlarhook.core.fairness

/**
 * A bounded queue of requests that wait for an upstream. Implementations are not thread-safe; the owner holds a lock.
 *
 * Costs are in tokens and deadlines on the clock of `nowMs`. An item whose deadline has passed is never polled; it
 * leaves through [expire].
 */
public interface RequestQueue<T> {
    /** The number of items held, including expired items that [expire] has not returned yet. */
    public val size: Int

    /** The summed cost of the items held. */
    public val queuedTokens: Long

    /** The summed cost of the items of [workspace]. */
    public fun queuedTokens(workspace: String): Long

    /** The summed cost that is served before a new item of [costTokens] of [workspace], if nothing else comes. */
    public fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long

    /** Adds [item]; of the items of one workspace a higher [priority] and then an earlier deadline goes first. */
    public fun offer(
        workspace: String,
        weight: Int,
        costTokens: Long,
        priority: Int,
        deadlineMs: Long,
        nowMs: Long,
        item: T,
    ): OfferResult<T>

    /** Takes the next item to be served, or null if there is none whose deadline lies ahead. */
    public fun poll(nowMs: Long): T?

    /** Removes a cancelled item; returns null if it has left the queue before. */
    public fun remove(ticket: Ticket): T?

    /** Removes and returns the items whose deadline has passed. */
    public fun expire(nowMs: Long): List<T>
}
