package org.medlarhook.core.directory

/** Why a change was not appended. */
public sealed interface AppendFailure {
    /** Another writer was first, and nothing was written; [changes] shows what was written meanwhile. */
    public data class Conflict(
        val headVersion: Long,
        val changes: List<DirectoryChange>,
    ) : AppendFailure

    /** The tables were not reached, and nothing was written. */
    public data class Unavailable(
        val detail: String,
    ) : AppendFailure

    /** The change may or may not be written; [DirectoryLog.settle] finds out. */
    public data class OutcomeUnknown(
        val detail: String,
    ) : AppendFailure
}
