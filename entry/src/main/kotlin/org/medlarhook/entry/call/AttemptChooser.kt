package org.medlarhook.entry.call

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.medlarhook.core.call.AttemptRef
import org.medlarhook.core.result.Failure
import org.medlarhook.core.result.ResultCode
import org.medlarhook.core.result.RunState
import org.medlarhook.entry.upstream.UpstreamLink
import java.util.UUID

/** Chooses the upstream of an attempt among [candidates] and gives the attempt its id. */
internal class AttemptChooser(
    private val services: CallServices,
    private val candidates: () -> List<UpstreamLink>,
) {
    /** Chooses outside [excluded]; a retry takes from the retry budget first. */
    fun choose(excluded: Set<String>, isRetry: Boolean): Either<Failure, ChosenAttempt> {
        if (isRetry && !services.retryBudget.tryTake(services.time.monotonicMs())) return none().left()
        if (isRetry) services.metrics.retried()
        val link = services.chooser.choose(candidates().filter { it.registration.upstreamId !in excluded })
        return link?.let { ChosenAttempt(it, newAttempt(it)).right() } ?: none().left()
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
