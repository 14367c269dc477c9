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

/** Chooses the upstream of an attempt among [candidates] and gives the attempt its id. */
internal class AttemptChooser(
    private val services: CallServices,
    private val request: (excluded: Set<String>) -> RouteRequest,
    private val candidates: () -> List<UpstreamLink>,
) {
    /** Chooses outside [excluded]; a retry takes from the retry budget first. */
    fun choose(excluded: Set<String>, isRetry: Boolean): Either<Failure, ChosenAttempt> {
        val nowMs = services.time.monotonicMs()
        if (isRetry && !services.retryBudget.tryTake(nowMs)) return none().left()
        if (isRetry) services.metrics.retried() else services.retryBudget.onRequest()
        val others = candidates().filter { it.registration.upstreamId !in excluded }
        return services.chooser.choose(request(excluded), others, nowMs).map { ChosenAttempt(it, newAttempt(it)) }
    }

    private fun newAttempt(link: UpstreamLink): AttemptRef {
        val to = link.registration
        return AttemptRef(UUID.randomUUID().toString(), to.upstreamId, to.address, to.incarnation)
    }

    private fun none() = Failure(ResultCode.NO_UPSTREAM, RunState.NOT_RUN, retryAfterMs = RETRY_AFTER_MS)

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
