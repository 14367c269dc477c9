package org.medlarhook.core.fairness

/** Identifies an item of a [RequestQueue]; tickets of one queue are numbered in order of arrival. */
@JvmInline
public value class Ticket(
    public val number: Long,
)
