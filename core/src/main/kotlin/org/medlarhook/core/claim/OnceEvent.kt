package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** What happens to a call of a plain service. */
public sealed interface OnceEvent {
    /** An upstream was chosen for the next attempt. */
    public data class Chosen(
        val attempt: AttemptRef,
    ) : OnceEvent

    /** No upstream can take the next attempt, or no retry is left. */
    public data class NotChosen(
        val failure: Failure,
    ) : OnceEvent

    /** The write of [claim] has come to an end. */
    public data class ClaimWritten(
        val claim: Claim,
        val result: ClaimWriteResult,
    ) : OnceEvent

    /** The row was read; null if there is none. */
    public data class ClaimRead(
        val row: ClaimRow?,
    ) : OnceEvent

    /** The row could not be read. */
    public data object ClaimReadFailed : OnceEvent

    /** The attempt was answered. */
    public data class Answered(
        val attemptId: String,
        val answer: CallAnswer,
    ) : OnceEvent

    /** The attempt was refused or given up by the sidecar. */
    public data class Refused(
        val attemptId: String,
        val failure: Failure,
    ) : OnceEvent

    /** The attempt surely did not leave this process. */
    public data class NotSent(
        val attemptId: String,
    ) : OnceEvent

    /** The connection of the attempt broke. */
    public data class Broken(
        val attemptId: String,
    ) : OnceEvent

    /** The sidecar was asked after the attempt. */
    public data class SealAnswered(
        val attemptId: String,
        val result: SealResult,
    ) : OnceEvent

    /** Time has passed. */
    public data object Tick : OnceEvent
}
