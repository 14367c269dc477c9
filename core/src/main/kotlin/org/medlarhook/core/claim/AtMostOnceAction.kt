package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** What is to be done for a call of a plain service. */
public sealed interface AtMostOnceAction {
    /** Choose an upstream outside [excludedUpstreams]; a retry takes from the retry budget first. */
    public data class Choose(
        val excludedUpstreams: Set<String>,
        val isRetry: Boolean,
    ) : AtMostOnceAction

    /** Write [claim] if the row still has [expectedVersion]. */
    public data class WriteClaim(
        val claim: Claim,
        val expectedVersion: Long,
    ) : AtMostOnceAction

    /** Read the row. */
    public data object ReadClaim : AtMostOnceAction

    /** Send the attempt. */
    public data class Send(
        val attempt: AttemptRef,
        val remainingMs: Long,
    ) : AtMostOnceAction

    /** Ask the sidecar of the attempt to seal it and to tell its status. */
    public data class Seal(
        val attempt: AttemptRef,
    ) : AtMostOnceAction

    /** Give the caller the answer; [isReplay] says that another request has caused the run. */
    public data class Answer(
        val answer: CallAnswer,
        val isReplay: Boolean,
    ) : AtMostOnceAction

    /** Tell the caller that there is no answer. */
    public data class Fail(
        val failure: Failure,
    ) : AtMostOnceAction
}
