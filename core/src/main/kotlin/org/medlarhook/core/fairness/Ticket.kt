package org.medlarhook.core.fairness

/** Names an item of a [RequestQueue] for its removal. */
@JvmInline
public value class Ticket(
    public val number: Long,
)
