package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Endpoint

/**
 * What the system sends to an upstream in addition to the caller's request.
 *
 * @property remainingMs the time that is left for the answer.
 * @property workspace the workspace of the request, or null on routes that need no key.
 * @property priority from 0 (most urgent) to 9 (least urgent); null leaves the choice to the engine.
 * @property resumeAfterEventId id of the last event that the caller has received, if a broken stream is resumed.
 * @property prefixSource an engine from which the upstream should fetch what it lacks of the prompt's prefix, or null.
 */
public data class AttemptOptions(
    val remainingMs: Long,
    val workspace: String?,
    val priority: Int?,
    val resumeAfterEventId: Long?,
    val step: AttemptStep = AttemptStep.Whole,
    val prefixSource: Endpoint? = null,
)

/** The part of a request that an upstream executes. */
public sealed interface AttemptStep {
    /** The whole request. */
    public data object Whole : AttemptStep

    /** Prefill only: the engine reads the prompt and keeps the resulting cache for another engine. */
    public data object Prefill : AttemptStep

    /** Decode only, from the cache that the engine at [source] keeps under [cacheHandle]. */
    public data class Decode(
        val source: Endpoint,
        val cacheHandle: String,
    ) : AttemptStep
}
