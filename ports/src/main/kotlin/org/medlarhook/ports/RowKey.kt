package org.medlarhook.ports

import kotlinx.serialization.Serializable

/** Identifies one row of one table. */
@Serializable
public data class RowKey(
    val table: String,
    val key: String,
)
