package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.config.Route
import org.medlarhook.core.serving.fair.WorkspaceStanding
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.resume.StreamOrigin

/**
 * A request that needs an upstream.
 *
 * @property service the service that was chosen among the targets of its route.
 * @property generation the size of the generation, or null for a call of a plain service.
 * @property workspace the workspace of its API key, or null if it needs no key.
 * @property arrivedAtMs the earliest time at which the request can have arrived, on the monotonic clock.
 * @property deadlineAtMs when it gets its final answer at the latest, by the caller's or the route's limit.
 * @property priority 0 is the most urgent.
 * @property engine the capacity of the service's engines, or null for a plain service.
 * @property origin where its stream has begun, which limits the upstreams that may go on with it.
 * @property standing that of its workspace at the service, or null where admission does not depend on it.
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
    val origin: StreamOrigin = StreamOrigin.NotBegun,
    val standing: WorkspaceStanding? = null,
) {
    /**
     * True if the caller retries after a refusal, which shows in a deadline clearly shorter than the route's time-out.
     */
    val isClientRetry: Boolean get() = deadlineAtMs - arrivedAtMs < route.timeoutMs * CLIENT_RETRY_TIMEOUT_SHARE

    /** When the answer, or the first event of a stream, is due by the objective. */
    val objectiveAtMs: Long get() = arrivedAtMs + route.objectiveMs

    private companion object {
        /** New requests arrive with nearly all of the time-out left; client retries have spent a good part waiting. */
        const val CLIENT_RETRY_TIMEOUT_SHARE = 0.88
    }
}
