package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.load.GenerationWork

/**
 * What a request asks of an upstream.
 *
 * @property service the service that its route has chosen for it.
 * @property generation the size of a generation, or null for a call of a plain service.
 * @property arrivedAtMs when the request was read, on the steady clock.
 * @property deadlineAtMs when it gets its final answer at the latest: the caller's or the route's limit.
 * @property priority 0 is the most urgent.
 * @property engine the engines of the service, or null for a plain service.
 */
public data class Demand(
    val route: Route,
    val service: String,
    val generation: GenerationWork?,
    val workspace: String?,
    val arrivedAtMs: Long,
    val deadlineAtMs: Long,
    val priority: Int,
    val engine: EngineSpec? = null,
) {
    /**
     * True if the caller has come back after a refusal: it waits for clearly less than the route lets a request wait.
     */
    val isClientRetry: Boolean get() = deadlineAtMs - arrivedAtMs < route.timeoutMs * RETURNING_SHARE

    /** When the answer, or the first event of a stream, should be there. */
    val objectiveAtMs: Long get() = arrivedAtMs + route.objectiveMs

    private companion object {
        /** First attempts arrive with nearly all of their time; those told to come back have lost a good part of it. */
        const val RETURNING_SHARE = 0.88
    }
}
