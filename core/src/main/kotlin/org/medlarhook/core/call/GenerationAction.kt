package org.medlarhook.core.call

import org.medlarhook.core.result.Failure

/** What the entry must do next for a generation. */
public sealed interface GenerationAction {
    /** Choose an upstream outside [excludedUpstreams]. A retry first takes one from the retry budget. */
    public data class Choose(
        val excludedUpstreams: Set<String>,
        val isRetry: Boolean,
    ) : GenerationAction

    /** Send the attempt, whose output begins at token [resumeFromToken] of the whole output. */
    public data class Send(
        val attempt: AttemptRef,
        val resumeFromToken: Int,
        val remainingMs: Long,
    ) : GenerationAction

    /** Cancel the attempt, so that the upstream stops working on it. */
    public data class Cancel(
        val attemptId: String,
    ) : GenerationAction

    /** Open a new connection to the upstream of the attempt, as the current one carries no events. */
    public data class ReplaceChannel(
        val attempt: AttemptRef,
    ) : GenerationAction

    /** Send [texts] to the caller; [firstIndex] is the index of the first of them in the whole output. */
    public data class Deliver(
        val firstIndex: Int,
        val texts: List<String>,
    ) : GenerationAction

    /** Send the caller the end mark: the output is complete. */
    public data class Finish(
        val finishReason: String,
        val outputTokens: Int,
    ) : GenerationAction

    /** Send the caller [failure]: the output can't be completed. */
    public data class Fail(
        val failure: Failure,
    ) : GenerationAction
}
