package org.medlarhook.core.directory

/**
 * What an entry said of itself, heard from it or passed on.
 *
 * @property originMs a moment on this process's monotonic clock that is not after the saying.
 * @property reachesTables false if the entry said that it neither reaches the tables nor has a write open.
 */
public data class PeerStatus(
    val originMs: Long,
    val reachesTables: Boolean,
)
