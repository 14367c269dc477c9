package org.medlarhook.core.routing

import org.medlarhook.core.role.UpstreamRole

/** Finds the candidates that may take a request. */
public object Eligibility {
    private const val SHORT_ANSWER_TOKENS = 16L

    /**
     * The candidates that can answer [request]: those whose role suits its work, or any if there are none of these.
     * Ejected candidates are used only when all are ejected, as the fault is then hardly theirs.
     */
    public fun of(request: RouteRequest, candidates: List<Candidate>): List<Candidate> {
        val able = candidates.filter { it.canAnswer(request) }
        val healthy = able.filterNot { it.health.ejected }.ifEmpty { able }
        return healthy.filter { it.role.suits(request) }.ifEmpty { healthy }
    }

    private fun Candidate.canAnswer(request: RouteRequest): Boolean =
        accepting && upstreamId !in request.excluded && served.any { it.answers(request.model) }

    private fun UpstreamRole.suits(request: RouteRequest): Boolean =
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
