package org.medlarhook.core.directory

import kotlinx.serialization.Serializable

/**
 * One accepted change of the configuration. Versions start at 1 and have no gaps.
 *
 * @property author the operator who made the change.
 * @property acceptedAtMs wall-clock time of the writer; for display only.
 * @property puts objects to add or replace.
 * @property deletes objects to remove.
 * @property nonce identifies the writer, which recognises its own row by it after a lost answer.
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

/** Identifies one object by kind (as serialised: workspace, key, model, service, site) and name. */
@Serializable
public data class EntityRef(
    val kind: String,
    val name: String,
)
