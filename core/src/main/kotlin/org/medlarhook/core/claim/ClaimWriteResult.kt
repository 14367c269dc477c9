package org.medlarhook.core.claim

/** The result of a conditional write of a claim. */
public sealed interface ClaimWriteResult {
    /** The row was written and now has [version]. */
    public data class Written(
        val version: Long,
    ) : ClaimWriteResult

    /** The row had another version than expected, and nothing was written. [current] is null if there is no row. */
    public data class Refused(
        val current: ClaimRow?,
    ) : ClaimWriteResult

    /** The write could not be made; nothing was written. */
    public data object Unavailable : ClaimWriteResult

    /** It is not known whether the row was written. */
    public data object Unknown : ClaimWriteResult
}
