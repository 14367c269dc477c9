package org.medlarhook.core.directory

/** Why a state does not take a change. */
public sealed interface ApplyFailure {
    /** The state has this version already. */
    public data class Older(
        val version: Long,
    ) : ApplyFailure

    /** Changes in between are missing. */
    public data class Gap(
        val expectedVersion: Long,
        val version: Long,
    ) : ApplyFailure
}
