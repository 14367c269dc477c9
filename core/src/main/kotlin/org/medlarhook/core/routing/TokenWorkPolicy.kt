package org.medlarhook.core.routing

import kotlin.random.Random

/**
 * Chooses the candidate with the earliest finish predicted from token work.
 *
 * A request with a shared prefix considers the few upstreams to which rendezvous hashing assigns the prefix, unless
 * their backlog exceeds a bound relative to the mean; the prediction for them deducts the prefill that their prefix
 * cache is expected to save. It also considers a few random candidates of the local region and as many of the other
 * regions: two each by default. The random choice keeps entries that hold the same stale load reports from all choosing
 * the same upstream. The latency and cost of links are part of the score.
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
        val owners = prefixOwners(request, eligible)
        val options = scored(request, owners, nowMs, cached = true) + sampled(request, eligible, nowMs)
        val best = options.minBy { it.scoreMs }
        return RouteDecision.Chosen(best.candidate.upstreamId, best.prediction)
    }

    /** The owners of the prefix of [request] that are not overloaded. */
    private fun prefixOwners(request: RouteRequest, eligible: List<Candidate>): List<Candidate> {
        val prefixHash = request.prefixHash ?: return emptyList()
        val owners = RendezvousHash.top(prefixHash, eligible, settings.ownersPerPrefix) { it.upstreamId }
        val meanMs = eligible.map { backlogMs(it) }.average()
        return owners.filter { backlogMs(it) <= meanMs * settings.maxLoadRatio + settings.loadSlackMs }
    }

    private fun sampled(request: RouteRequest, eligible: List<Candidate>, nowMs: Long): List<ScoredCandidate> {
        val local = eligible.filter { it.region == localRegion }
        val remote = eligible - local.toSet()
        return scored(request, randomSample(local) + randomSample(remote), nowMs, cached = false)
    }

    private fun randomSample(group: List<Candidate>): List<Candidate> =
        if (group.size <= settings.sampleSize) group else group.shuffled(random).take(settings.sampleSize)

    private fun scored(
        request: RouteRequest,
        candidates: List<Candidate>,
        nowMs: Long,
        cached: Boolean,
    ): List<ScoredCandidate> {
        val cachedTokens = if (cached) (request.prefixTokens * settings.expectedHitShare).toLong() else 0
        return candidates.map { candidate ->
            val prediction = FinishPredictor.predict(request, candidate, cachedTokens, nowMs)
            ScoredCandidate(candidate, prediction, prediction.finishMs + penaltyMs(request, candidate))
        }
    }

    /** The cost of the link in time, and a penalty that limits the load of an upstream in slow start. */
    private fun penaltyMs(request: RouteRequest, candidate: Candidate): Double {
        val share = candidate.health.admittedShare.coerceIn(MIN_ADMITTED_SHARE, 1.0)
        val slowStartPenaltyMs = (1 / share - 1) * (backlogMs(candidate) + settings.loadSlackMs)
        return candidate.link.cost(request.bodyBytes) * settings.msPerCostUnit + slowStartPenaltyMs
    }

    private fun backlogMs(candidate: Candidate): Double {
        val speed = candidate.load.speed
        val work = candidate.load.work
        return speed.prefillMs(work.prefillTokens) + speed.batchDecodeMs(work.decodeTokens)
    }

    private class ScoredCandidate(
        val candidate: Candidate,
        val prediction: FinishPrediction,
        val scoreMs: Double,
    )

    private companion object {
        const val MIN_ADMITTED_SHARE = 0.05
    }
}
