package org.medlarhook.core.directory

/**
 * What one poll of the tables brought.
 *
 * @property headVersion the newest version at a moment during the poll.
 * @property snapshot a state to start from if the log no longer holds the next change.
 * @property changes the changes above the snapshot, or else above the version asked for.
 */
public data class DirectoryPage(
    val headVersion: Long,
    val snapshot: DirectoryState?,
    val changes: List<DirectoryChange>,
)
