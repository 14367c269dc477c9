package org.medlarhook.core.call

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.medlarhook.core.result.Failure

/**
 * Where a generation stands.
 *
 * @property nextToken index of the first token that was not passed on.
 * @property attempts attempts sent so far.
 * @property mayHaveRun false only while no upstream can have worked on the request.
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

    /** An attempt is on its way; [heard] is true after its first event. */
    public data class Running(
        val attempt: AttemptRef,
        val lastEventAtMs: Long,
        val heard: Boolean,
    ) : GenerationPhase

    /** The caller has its last word. */
    public data object Ended : GenerationPhase
}

/** The next state and what is to be done, in order. */
public data class GenerationStep(
    val state: GenerationState,
    val actions: List<GenerationAction> = emptyList(),
)
