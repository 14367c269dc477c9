package org.medlarhook.core.routing

import org.medlarhook.core.role.UpstreamRole

/** Filters the candidates that may serve a request. */
public object Eligibility {
    private const val SHORT_ANSWER_TOKENS = 16L

    /**
     * The candidates that can serve [request] and whose role fits its work, or those of any role if no role fits.
     * Ejected candidates are used only if all are ejected, because the cause is then unlikely to be the upstreams.
     */
    public fun of(request: RouteRequest, candidates: List<Candidate>): List<Candidate> {
        val capable = candidates.filter { it.canServe(request) }
        val healthy = capable.filterNot { it.health.ejected }.ifEmpty { capable }
        return healthy.filter { it.role.fits(request) }.ifEmpty { healthy }
    }

    private fun Candidate.canServe(request: RouteRequest): Boolean =
        accepting && upstreamId !in request.excluded && served.any { it.satisfies(request.model) }

    private fun UpstreamRole.fits(request: RouteRequest): Boolean =
        when (this) {
            UpstreamRole.MIXED, UpstreamRole.SERVICE -> true
            UpstreamRole.PREFILL -> request.phase == WorkPhase.PREFILL || request.isShortAnswer()
            UpstreamRole.DECODE -> request.phase == WorkPhase.DECODE || request.isLongAnswer()
        }

    private fun RouteRequest.isShortAnswer(): Boolean =
        phase == WorkPhase.WHOLE && work.decodeTokens <= SHORT_ANSWER_TOKENS

    private fun RouteRequest.isLongAnswer(): Boolean =
        phase == WorkPhase.WHOLE && work.decodeTokens > SHORT_ANSWER_TOKENS
}
