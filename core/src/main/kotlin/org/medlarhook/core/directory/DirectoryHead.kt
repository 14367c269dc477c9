package org.medlarhook.core.directory

import kotlinx.serialization.Serializable

/**
 * The content of the head row of the log.
 *
 * @property version the newest version of the directory.
 * @property snapshotVersion the version of the newest snapshot in the object store, or 0.
 */
@Serializable
public data class DirectoryHead(
    val version: Long = 0,
    val snapshotVersion: Long = 0,
)
