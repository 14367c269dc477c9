package org.medlarhook.core.directory

/**
 * Result of one poll of the tables.
 *
 * @property headVersion the newest version at some moment during the poll.
 * @property snapshot the state to start from if the log no longer holds the next change, or null.
 * @property changes the changes above the snapshot or, without one, above the requested version.
 */
public data class DirectoryPage(
    val headVersion: Long,
    val snapshot: DirectoryState?,
    val changes: List<DirectoryChange>,
)
