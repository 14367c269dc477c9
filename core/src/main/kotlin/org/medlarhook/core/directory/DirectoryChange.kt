package org.medlarhook.core.directory

import kotlinx.serialization.Serializable

/**
 * One accepted change of the configuration. Versions start at 1 and have no gaps.
 *
 * @property author who made it.
 * @property acceptedAtMs wall-clock time of the writer, for people only.
 * @property puts objects that are new or replaced.
 * @property deletes objects that are gone.
 * @property nonce tells the writer of a lost answer that the row is its own.
 */
@Serializable
public data class DirectoryChange(
    val version: Long,
    val author: String,
    val acceptedAtMs: Long,
    val comment: String = "",
    val puts: List<DirectoryEntity> = emptyList(),
    val deletes: List<EntityRef> = emptyList(),
    val nonce: String = "",
)

/** Names one object: kind (as serialised: workspace, key, model, service, site) and name. */
@Serializable
public data class EntityRef(
    val kind: String,
    val name: String,
)
