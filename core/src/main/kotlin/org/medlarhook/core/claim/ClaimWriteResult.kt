package org.medlarhook.core.claim

/** What became of a conditional write of a claim. */
public sealed interface ClaimWriteResult {
    /** The row was written and has [version]. */
    public data class Written(
        val version: Long,
    ) : ClaimWriteResult

    /** The row had another version, and nothing was written; [current] is null if there is no row. */
    public data class Refused(
        val current: ClaimRow?,
    ) : ClaimWriteResult

    /** Nothing was written. */
    public data object Unavailable : ClaimWriteResult

    /** It is not known whether the row was written. */
    public data object Unknown : ClaimWriteResult
}
