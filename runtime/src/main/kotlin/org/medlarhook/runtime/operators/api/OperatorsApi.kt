package org.medlarhook.runtime.operators.api

import kotlinx.serialization.Serializable
import org.medlarhook.core.directory.DirectoryChange
import org.medlarhook.core.directory.DirectoryEntity
import org.medlarhook.core.directory.EntityRef

/** The configuration at one version. */
@Serializable
public data class ConfigAnswer(
    val version: Long,
    val entities: List<DirectoryEntity>,
)

/**
 * A change that an operator asks for.
 *
 * @property baseVersion the version that the operator saw; the change is refused if another came meanwhile.
 * @property nonce chosen by the client, so that asking again after a lost answer changes nothing twice.
 */
@Serializable
public data class ChangeRequest(
    val baseVersion: Long,
    val author: String,
    val comment: String = "",
    val puts: List<DirectoryEntity> = emptyList(),
    val deletes: List<EntityRef> = emptyList(),
    val nonce: String,
)

/** The version under which a change was accepted. */
@Serializable
public data class ChangeAnswer(
    val version: Long,
)

/** Changes in the order of their versions. */
@Serializable
public data class HistoryAnswer(
    val changes: List<DirectoryChange>,
)

/** Asks for a new key. */
@Serializable
public data class KeyRequest(
    val workspace: String,
    val author: String,
)

/** A new key; [key] is shown this once. */
@Serializable
public data class KeyAnswer(
    val keyId: String,
    val key: String,
    val version: Long,
)

/** A key as listed. */
@Serializable
public data class KeySummary(
    val keyId: String,
    val workspace: String,
    val withdrawn: Boolean,
)

/** All keys. */
@Serializable
public data class KeysAnswer(
    val keys: List<KeySummary>,
)

/**
 * How far a version is in force.
 *
 * @property waitingFor the entries that may still act on an older version.
 */
@Serializable
public data class InForceAnswer(
    val version: Long,
    val inForce: Boolean,
    val waitingFor: List<String>,
)

/** A failure of an operators' call. */
@Serializable
public data class ProblemAnswer(
    val title: String,
    val code: Int,
    val detail: String,
    val errors: List<String> = emptyList(),
    val changes: List<DirectoryChange> = emptyList(),
)
