package org.medlarhook.core.call

import org.medlarhook.core.result.Failure

/** An event that a [GenerationMachine] handles. */
public sealed interface GenerationEvent {
    /** An upstream was chosen for the next attempt. */
    public data class Chosen(
        val attempt: AttemptRef,
    ) : GenerationEvent

    /** No upstream can take the next attempt, or no retry is left. */
    public data class NotChosen(
        val failure: Failure,
    ) : GenerationEvent

    /**
     * The attempt has not timed out: it has started if [started] is true; otherwise it is queued, its sidecar responds,
     * or a slow caller delays its events.
     */
    public data class Alive(
        val attemptId: String,
        val started: Boolean,
    ) : GenerationEvent

    /** Tokens of the attempt arrived; [firstIndex] is the index of the first of [texts] in the whole output. */
    public data class TokensArrived(
        val attemptId: String,
        val firstIndex: Int,
        val texts: List<String>,
    ) : GenerationEvent

    /** The attempt has sent all its tokens; [outputTokens] is the length of the whole output, or null if unknown. */
    public data class Completed(
        val attemptId: String,
        val finishReason: String,
        val outputTokens: Int? = null,
    ) : GenerationEvent

    /** The sidecar refused the attempt or stopped it with a failure. */
    public data class Refused(
        val attemptId: String,
        val failure: Failure,
    ) : GenerationEvent

    /** The connection of the attempt was lost. */
    public data class Broken(
        val attemptId: String,
        val detail: String,
    ) : GenerationEvent

    /** Time has passed: time-outs and the deadline are checked. */
    public data object Tick : GenerationEvent

    /** The caller has closed its connection. */
    public data object CallerDisconnected : GenerationEvent

    /** The API key of the request was withdrawn. */
    public data object AccessWithdrawn : GenerationEvent

    /** The process ends, so that the generation can't be completed. */
    public data object CutOff : GenerationEvent
}
