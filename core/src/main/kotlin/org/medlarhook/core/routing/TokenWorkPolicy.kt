package org.medlarhook.core.routing

import kotlin.random.Random

/**
 * Chooses by predicted finish from token work.
 *
 * A request with a shared prefix may go to one of the few upstreams that rendezvous hashing gives the prefix, as long
 * as they are not loaded past a bound over the mean; they are credited with the prefill that their cache saves. Beside
 * them, two random candidates of the own region and two of the others are compared, so that entries with the same old
 * reports do not all choose the same upstream. Links count with their latency and price.
 */
public class TokenWorkPolicy(
    private val random: Random,
    private val localRegion: String,
    private val settings: TokenWorkSettings = TokenWorkSettings(),
) : RoutingPolicy {
    override fun choose(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
    ): RouteDecision {
        val eligible = Eligibility.of(request, candidates)
        if (eligible.isEmpty()) return RouteDecision.NoUpstream
        val affine = affineOf(request, eligible)
        val options = scored(request, affine, nowMs, cached = true) + spread(request, eligible, nowMs)
        val best = options.minBy { it.scoreMs }
        return RouteDecision.Chosen(best.candidate.upstreamId, best.prediction)
    }

    private fun affineOf(request: RouteRequest, eligible: List<Candidate>): List<Candidate> {
        val prefixHash = request.prefixHash ?: return emptyList()
        val owners = RendezvousHash.top(prefixHash, eligible, settings.affineCount) { it.upstreamId }
        val meanMs = eligible.map { backlogMs(it) }.average()
        return owners.filter { backlogMs(it) <= meanMs * settings.loadBound + settings.loadSlackMs }
    }

    private fun spread(request: RouteRequest, eligible: List<Candidate>, nowMs: Long): List<Option> {
        val local = eligible.filter { it.region == localRegion }
        val remote = eligible - local.toSet()
        return scored(request, sample(local) + sample(remote), nowMs, cached = false)
    }

    private fun sample(candidates: List<Candidate>): List<Candidate> =
        if (candidates.size <= settings.choices) candidates else candidates.shuffled(random).take(settings.choices)

    private fun scored(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
        cached: Boolean,
    ): List<Option> {
        val cachedTokens = if (cached) (request.prefixTokens * settings.expectedHitShare).toLong() else 0
        return candidates.map { candidate ->
            val prediction = FinishPredictor.predict(request, candidate, cachedTokens, nowMs)
            Option(candidate, prediction, prediction.finishMs + penaltyMs(request, candidate))
        }
    }

    private fun penaltyMs(request: RouteRequest, candidate: Candidate): Double {
        val share = candidate.health.admittedShare.coerceIn(MIN_ADMITTED_SHARE, 1.0)
        val slowStartMs = (1 / share - 1) * (backlogMs(candidate) + settings.loadSlackMs)
        return candidate.link.cost(request.bodyBytes) * settings.msPerCostUnit + slowStartMs
    }

    private fun backlogMs(candidate: Candidate): Double {
        val speed = candidate.load.speed
        val work = candidate.load.work
        return speed.prefillMs(work.prefillTokens) + speed.batchDecodeMs(work.decodeTokens)
    }

    private class Option(
        val candidate: Candidate,
        val prediction: FinishPrediction,
        val scoreMs: Double,
    )

    private companion object {
        const val MIN_ADMITTED_SHARE = 0.05
    }
}
