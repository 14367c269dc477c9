package org.medlarhook.core.admission

import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.WorkTokens

/**
 * What a sidecar knows of its upstream.
 *
 * @property running requests that the engine holds, with [runningWork] left to do.
 * @property queuedAheadMs time that the queue takes to serve what goes before a new request of the workspace.
 */
public data class QueueState(
    val running: Int,
    val runningWork: WorkTokens,
    val queuedAheadMs: Double,
    val speed: EngineSpeed,
)
