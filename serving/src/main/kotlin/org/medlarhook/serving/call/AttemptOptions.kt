package org.medlarhook.serving.call

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
)
