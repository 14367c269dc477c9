package org.medlarhook.core.directory

/** Why a change cannot be applied to a [DirectoryState]. */
public sealed interface ApplyFailure {
    /** The state already includes this version. */
    public data class Older(
        val version: Long,
    ) : ApplyFailure

    /** Changes between the version of the state and this one are missing. */
    public data class Gap(
        val expectedVersion: Long,
        val version: Long,
    ) : ApplyFailure
}
