package org.medlarhook.core.admission

import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.WorkTokens

/**
 * The load of one upstream as its sidecar knows it, seen by a new request of one workspace.
 *
 * @property running number of requests that the engine is running.
 * @property runningWork work that remains for the running requests.
 * @property queuedAheadMs time to serve the queued requests that are scheduled before the new one.
 * @property speed speed of the engine.
 */
public data class QueueState(
    val running: Int,
    val runningWork: WorkTokens,
    val queuedAheadMs: Double,
    val speed: EngineSpeed,
)
