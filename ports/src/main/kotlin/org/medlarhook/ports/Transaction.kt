package org.medlarhook.ports

import kotlinx.serialization.Serializable

/**
 * Writes that are applied atomically if every condition holds.
 *
 * @property conditions the row versions that must be current.
 * @property writes the rows to put or delete.
 */
@Serializable
public data class Transaction(
    val conditions: List<Condition>,
    val writes: List<Write>,
)

/** Holds if the row has [version]; with [ABSENT], if the row does not exist. */
@Serializable
public data class Condition(
    val key: RowKey,
    val version: Long,
) {
    public companion object {
        /** The version of a row that does not exist. */
        public const val ABSENT: Long = 0
    }
}

/** Puts [value], or deletes the row if [value] is null. */
@Serializable
public data class Write(
    val key: RowKey,
    val value: String?,
)

/** The result of a transaction: the [version] of all rows that it wrote. */
@Serializable
public data class Committed(
    val version: Long,
)
