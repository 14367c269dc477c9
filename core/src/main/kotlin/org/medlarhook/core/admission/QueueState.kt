package org.medlarhook.core.admission

import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.WorkTokens

/**
 * What a sidecar knows of its upstream.
 *
 * @property running requests that the engine holds, with [runningWork] left to do.
 * @property fairAhead queued work that the fair queue will serve before a new request of the workspace.
 * @property requestsAhead the number of those requests.
 */
public data class QueueState(
    val running: Int,
    val runningWork: WorkTokens,
    val fairAhead: WorkTokens,
    val requestsAhead: Int,
    val speed: EngineSpeed,
)
