package org.medlarhook.core.directory

/** Why a change was not appended. */
public sealed interface AppendFailure {
    /** Another writer committed this version first, and nothing was written. [changes] lists the commits since. */
    public data class Conflict(
        val headVersion: Long,
        val changes: List<DirectoryChange>,
    ) : AppendFailure

    /** The tables could not be reached, and nothing was written. */
    public data class Unavailable(
        val detail: String,
    ) : AppendFailure

    /** The change may or may not have been written. [DirectoryLog.settle] determines which. */
    public data class OutcomeUnknown(
        val detail: String,
    ) : AppendFailure
}
