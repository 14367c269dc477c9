package org.medlarhook.core.fairness

/** The result of offering an item to a [RequestQueue]. */
public sealed interface OfferResult<out T> {
    /**
     * The item is queued.
     *
     * @property ticket identifies the item for its removal.
     * @property displaced the item that was removed from a full queue to make room and will not run, or null.
     */
    public data class Accepted<T>(
        val ticket: Ticket,
        val displaced: T? = null,
    ) : OfferResult<T>

    /** The item was refused because the queue is full. */
    public data object Full : OfferResult<Nothing>

    /** The item was refused because its deadline has passed. */
    public data object Expired : OfferResult<Nothing>
}
