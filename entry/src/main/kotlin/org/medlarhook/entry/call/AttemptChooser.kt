package org.medlarhook.entry.call

import arrow.core.Either
import arrow.core.left
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.entry.upstream.UpstreamLink
import java.util.UUID

/**
 * Chooses the upstream of each attempt of one request, and creates the attempt with a new id.
 *
 * @param routeRequest describes the request to the routing policy, without the excluded upstreams.
 * @param candidates the upstreams that accept such a request now.
 */
internal class AttemptChooser(
    private val services: CallServices,
    private val routeRequest: (excluded: Set<String>) -> RouteRequest,
    private val candidates: () -> List<UpstreamLink>,
) {
    /**
     * Chooses an upstream that is not in [excluded]. A retry first takes from the retry budget, and fails with
     * [ResultCode.NO_UPSTREAM] if the budget is used up.
     */
    fun choose(excluded: Set<String>, isRetry: Boolean): Either<Failure, ChosenAttempt> {
        val nowMs = services.time.monotonicMs()
        if (isRetry && !services.retryBudget.tryTake(nowMs)) return noUpstream().left()
        if (isRetry) services.metrics.retried() else services.retryBudget.onRequest()
        val eligible = candidates().filter { it.registration.upstreamId !in excluded }
        return services.chooser
            .choose(routeRequest(excluded), eligible, nowMs)
            .map { ChosenAttempt(it, newAttempt(it)) }
    }

    private fun newAttempt(link: UpstreamLink): AttemptRef {
        val upstream = link.registration
        return AttemptRef(UUID.randomUUID().toString(), upstream.upstreamId, upstream.address, upstream.incarnation)
    }

    private fun noUpstream() = Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
