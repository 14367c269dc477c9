package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Endpoint

/**
 * What the system tells an upstream beside the caller's request.
 *
 * @property remainingMs how long the upstream may work.
 * @property workspace whose request it is, or null on open routes.
 * @property priority 0 first to 9 last, or null for the engine's own.
 * @property resumeAfterEventId the last event that the caller has, if a stream goes on.
 */
public data class AttemptOptions(
    val remainingMs: Long,
    val workspace: String?,
    val priority: Int?,
    val resumeAfterEventId: Long?,
    val step: AttemptStep = AttemptStep.Whole,
)

/** Which part of a request an upstream does. */
public sealed interface AttemptStep {
    /** All of it. */
    public data object Whole : AttemptStep

    /** It reads the prompt and keeps its cache for another engine. */
    public data object Prefill : AttemptStep

    /** It goes on from the cache that the engine at [source] keeps as [cacheHandle]. */
    public data class Decode(
        val source: Endpoint,
        val cacheHandle: String,
    ) : AttemptStep
}
