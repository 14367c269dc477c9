package org.medlarhook.core.call

import org.medlarhook.core.result.Failure

/** What happens to a generation. */
public sealed interface GenerationEvent {
    /** An upstream was chosen for the next attempt. */
    public data class Chosen(
        val attempt: AttemptRef,
    ) : GenerationEvent

    /** No upstream can take the next attempt, or no retry is left. */
    public data class NotChosen(
        val failure: Failure,
    ) : GenerationEvent

    /** The attempt gave a sign of life: it has started, or it waits in the queue. */
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

    /** The attempt has sent all its tokens; [outputTokens] is the length of the whole output, or null if not told. */
    public data class Completed(
        val attemptId: String,
        val finishReason: String,
        val outputTokens: Int? = null,
    ) : GenerationEvent

    /** The sidecar refused or gave up the attempt. */
    public data class Refused(
        val attemptId: String,
        val failure: Failure,
    ) : GenerationEvent

    /** The connection of the attempt broke. */
    public data class Broken(
        val attemptId: String,
        val detail: String,
    ) : GenerationEvent

    /** Time has passed. */
    public data object Tick : GenerationEvent

    /** The caller has closed its connection. */
    public data object CallerDisconnected : GenerationEvent

    /** The key of the request was withdrawn. */
    public data object AccessWithdrawn : GenerationEvent
}
