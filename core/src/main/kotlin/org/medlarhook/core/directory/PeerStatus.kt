package org.medlarhook.core.directory

/**
 * The status that an entry reported of itself, received from it or relayed by another entry.
 *
 * @property originMs a moment on this process's monotonic clock that is not after the report.
 * @property reachesTables false if the entry reported that it neither reaches the tables nor has an open write.
 */
public data class PeerStatus(
    val originMs: Long,
    val reachesTables: Boolean,
)
