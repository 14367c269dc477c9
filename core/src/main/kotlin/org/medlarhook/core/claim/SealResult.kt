package org.medlarhook.core.claim

import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** The answer of a sidecar to a seal request for an attempt. */
public sealed interface SealResult {
    /** The attempt has not started and never will. */
    public data object Sealed : SealResult

    /** The attempt is running. */
    public data object Running : SealResult

    /** The attempt has finished with [answer]. */
    public data class Answered(
        val answer: CallAnswer,
    ) : SealResult

    /** The attempt has ended with [failure]. */
    public data class Refused(
        val failure: Failure,
    ) : SealResult

    /** The sidecar does not have the status of the attempt, or has another incarnation than the attempt was sent to. */
    public data object Undetermined : SealResult

    /** The sidecar did not answer. */
    public data object Unreachable : SealResult
}
