package org.medlarhook.entry.routing

import arrow.core.Either
import org.medlarhook.core.result.Failure
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.entry.upstream.UpstreamLink

/** Chooses the upstream for an attempt. */
internal fun interface UpstreamChooser {
    /** Returns one of [candidates], or the reason why none can serve [request]. */
    fun choose(request: RouteRequest, candidates: List<UpstreamLink>, nowMs: Long): Either<Failure, UpstreamLink>
}
