package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** What happens to a call of a plain service. */
public sealed interface AtMostOnceEvent {
    /** An upstream was chosen for the next attempt. */
    public data class Chosen(
        val attempt: AttemptRef,
    ) : AtMostOnceEvent

    /** No upstream can take the next attempt, or no retry is left. */
    public data class NotChosen(
        val failure: Failure,
    ) : AtMostOnceEvent

    /** The write of [claim] has come to an end. */
    public data class ClaimWritten(
        val claim: Claim,
        val result: ClaimWriteResult,
    ) : AtMostOnceEvent

    /** The row was read; null if there is none. */
    public data class ClaimRead(
        val row: ClaimRow?,
    ) : AtMostOnceEvent

    /** The row could not be read. */
    public data object ClaimReadFailed : AtMostOnceEvent

    /** The attempt was answered. */
    public data class Answered(
        val attemptId: String,
        val answer: CallAnswer,
    ) : AtMostOnceEvent

    /** The attempt was refused or given up by the sidecar. */
    public data class Refused(
        val attemptId: String,
        val failure: Failure,
    ) : AtMostOnceEvent

    /** The attempt surely did not leave this process. */
    public data class NotSent(
        val attemptId: String,
    ) : AtMostOnceEvent

    /** The connection of the attempt broke. */
    public data class Broken(
        val attemptId: String,
    ) : AtMostOnceEvent

    /** The sidecar was asked after the attempt. */
    public data class SealAnswered(
        val attemptId: String,
        val result: SealResult,
    ) : AtMostOnceEvent

    /** Time has passed. */
    public data object Tick : AtMostOnceEvent
}
