package org.medlarhook.core.call

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.medlarhook.core.result.Failure

/**
 * The state of a generation in its [GenerationMachine].
 *
 * @property nextToken index of the first token that was not yet sent to the caller.
 * @property attempts number of attempts sent so far.
 * @property mayHaveRun true if an upstream may have run the request, apart from an attempt that has reported nothing.
 */
public data class GenerationState(
    val deadlineAtMs: Long,
    val phase: GenerationPhase = GenerationPhase.Choosing,
    val nextToken: Int = 0,
    val attempts: Int = 0,
    val mayHaveRun: Boolean = false,
    val excludedUpstreams: PersistentSet<String> = persistentSetOf(),
    val lastFailure: Failure? = null,
)

/** The phases of a generation. */
public sealed interface GenerationPhase {
    /** An upstream is being chosen. */
    public data object Choosing : GenerationPhase

    /** An attempt was sent and has not ended; [firstEventSeen] is true after its first event. */
    public data class Running(
        val attempt: AttemptRef,
        val lastEventAtMs: Long,
        val firstEventSeen: Boolean,
    ) : GenerationPhase

    /** The final answer was given to the caller. */
    public data object Ended : GenerationPhase
}

/** The next state, and the actions to carry out, in order. */
public data class GenerationStep(
    val state: GenerationState,
    val actions: List<GenerationAction> = emptyList(),
)
