package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** An event that an [AtMostOnceMachine] handles. */
public sealed interface AtMostOnceEvent {
    /** An upstream was chosen for the next attempt. */
    public data class Chosen(
        val attempt: AttemptRef,
    ) : AtMostOnceEvent

    /** No upstream can take the next attempt, or no retry is left. */
    public data class NotChosen(
        val failure: Failure,
    ) : AtMostOnceEvent

    /** The write of [claim] has ended with [result]. */
    public data class ClaimWritten(
        val claim: Claim,
        val result: ClaimWriteResult,
    ) : AtMostOnceEvent

    /** The claim row was read; null if there is none. */
    public data class ClaimRead(
        val row: ClaimRow?,
    ) : AtMostOnceEvent

    /** The claim row could not be read. */
    public data object ClaimReadFailed : AtMostOnceEvent

    /** The upstream answered the attempt. */
    public data class Answered(
        val attemptId: String,
        val answer: CallAnswer,
    ) : AtMostOnceEvent

    /** The sidecar refused the attempt or stopped it with a failure. */
    public data class Refused(
        val attemptId: String,
        val failure: Failure,
    ) : AtMostOnceEvent

    /** The attempt has certainly not left this process. */
    public data class NotSent(
        val attemptId: String,
    ) : AtMostOnceEvent

    /** The connection of the attempt was lost. */
    public data class Broken(
        val attemptId: String,
    ) : AtMostOnceEvent

    /** The seal request for the attempt has ended with [result]. */
    public data class SealAnswered(
        val attemptId: String,
        val result: SealResult,
    ) : AtMostOnceEvent

    /** Time has passed: the deadline and the seal interval are checked. */
    public data object Tick : AtMostOnceEvent

    /** The process ends, so that the call can't be completed. */
    public data object CutOff : AtMostOnceEvent
}
