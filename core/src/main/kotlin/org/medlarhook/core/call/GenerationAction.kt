package org.medlarhook.core.call

import org.medlarhook.core.result.Failure

/** What is to be done for a generation. */
public sealed interface GenerationAction {
    /** Choose an upstream outside [excludedUpstreams]; a retry takes from the retry budget first. */
    public data class Choose(
        val excludedUpstreams: Set<String>,
        val isRetry: Boolean,
    ) : GenerationAction

    /** Send the attempt, which goes on at [resumeFromToken]. */
    public data class Send(
        val attempt: AttemptRef,
        val resumeFromToken: Int,
        val remainingMs: Long,
    ) : GenerationAction

    /** Cancel the attempt and its upstream's work. */
    public data class Cancel(
        val attemptId: String,
    ) : GenerationAction

    /** The attempt's connection has gone silent: open a new one to that upstream. */
    public data class ReplaceChannel(
        val attempt: AttemptRef,
    ) : GenerationAction

    /** Pass [texts] on to the caller; [firstIndex] is the index of the first. */
    public data class Deliver(
        val firstIndex: Int,
        val texts: List<String>,
    ) : GenerationAction

    /** Tell the caller that the output is whole. */
    public data class Finish(
        val finishReason: String,
        val outputTokens: Int,
    ) : GenerationAction

    /** Tell the caller that the output can't be finished. */
    public data class Fail(
        val failure: Failure,
    ) : GenerationAction
}
