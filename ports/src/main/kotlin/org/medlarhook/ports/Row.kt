package org.medlarhook.ports

import kotlinx.serialization.Serializable

/**
 * A row as read.
 *
 * @property value the content, JSON by convention.
 * @property version grows with each write of any row of the service; never used twice.
 */
@Serializable
public data class Row(
    val key: RowKey,
    val value: String,
    val version: Long,
)
