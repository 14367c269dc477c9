package org.medlarhook.core.claim

import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.call.CallAnswer
import org.medlarhook.core.result.Failure

/** What the entry must do next for a call of a plain service. */
public sealed interface AtMostOnceAction {
    /** Choose an upstream outside [excludedUpstreams]. A retry first takes one from the retry budget. */
    public data class Choose(
        val excludedUpstreams: Set<String>,
        val isRetry: Boolean,
    ) : AtMostOnceAction

    /** Write [claim] on condition that its row has [expectedVersion]. */
    public data class WriteClaim(
        val claim: Claim,
        val expectedVersion: Long,
    ) : AtMostOnceAction

    /** Read the claim row of the idempotency key. */
    public data object ReadClaim : AtMostOnceAction

    /** Send the attempt, with the time that is left until the deadline. */
    public data class Send(
        val attempt: AttemptRef,
        val remainingMs: Long,
    ) : AtMostOnceAction

    /** Request the sidecar of the attempt to seal it and to return its status. */
    public data class Seal(
        val attempt: AttemptRef,
    ) : AtMostOnceAction

    /** Send the caller the answer; [isReplay] is true if the attempt of another request produced it. */
    public data class Answer(
        val answer: CallAnswer,
        val isReplay: Boolean,
    ) : AtMostOnceAction

    /** Send the caller [failure]. */
    public data class Fail(
        val failure: Failure,
    ) : AtMostOnceAction
}
