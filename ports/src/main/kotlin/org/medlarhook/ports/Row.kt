package org.medlarhook.ports

import kotlinx.serialization.Serializable

/**
 * A row of a table, as read.
 *
 * @property value the content, by convention JSON.
 * @property version increases with every write to any row of the service and is never reused.
 */
@Serializable
public data class Row(
    val key: RowKey,
    val value: String,
    val version: Long,
)
