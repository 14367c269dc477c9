package org.medlarhook.core.claim

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** What a sidecar tells of an attempt. */
public sealed interface SealResult {
    /** The attempt has not started and never will. */
    public data object Sealed : SealResult

    /** The attempt runs. */
    public data object Running : SealResult

    /** The attempt has finished with [answer]. */
    public data class Answered(
        val answer: CallAnswer,
    ) : SealResult

    /** The attempt has ended with [failure]. */
    public data class Refused(
        val failure: Failure,
    ) : SealResult

    /** The sidecar can't tell, or is another process than the one that the attempt was for. */
    public data object Undetermined : SealResult

    /** No answer came. */
    public data object Unreachable : SealResult
}
