package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.load.GenerationWork

/**
 * What a request asks of an upstream.
 *
 * @property service the service that its route has chosen for it.
 * @property generation the size of a generation, or null for a call of a plain service.
 * @property arrivedAtMs when the request was read, on the steady clock.
 * @property finalAtMs when it gets its final answer at the latest: the caller's or the route's limit.
 * @property priority 0 is the most urgent.
 */
public data class Demand(
    val route: Route,
    val service: String,
    val generation: GenerationWork?,
    val workspace: String?,
    val arrivedAtMs: Long,
    val finalAtMs: Long,
    val priority: Int,
) {
    /** When the answer, or the first event of a stream, should be there. */
    val objectiveAtMs: Long get() = arrivedAtMs + route.objectiveMs
}
