package org.medlarhook.core.fairness

/** What became of an item offered to a [RequestQueue]. */
public sealed interface OfferResult<out T> {
    /** The item was taken. [displaced] had to leave for it and was not run; null in most cases. */
    public data class Accepted<T>(
        val ticket: Ticket,
        val displaced: T? = null,
    ) : OfferResult<T>

    /** The queue is full and the item was not taken. */
    public data object Full : OfferResult<Nothing>

    /** The deadline had passed and the item was not taken. */
    public data object Expired : OfferResult<Nothing>
}
