package org.medlarhook.loadtool.policy

import org.medlarhook.core.admission.AdmissionDecision
import org.medlarhook.core.admission.DeadlineAdmission
import org.medlarhook.core.retry.OutlierEjection
import org.medlarhook.core.retry.RetryBudget
import org.medlarhook.core.routing.Candidate
import org.medlarhook.core.routing.FinishPrediction
import org.medlarhook.core.routing.Link
import org.medlarhook.core.routing.LoadReport
import org.medlarhook.core.routing.LoadTracker
import org.medlarhook.core.routing.ModelRef
import org.medlarhook.core.routing.RouteDecision
import org.medlarhook.core.routing.RouteRequest
import org.medlarhook.core.routing.RoutingPolicy
import org.medlarhook.core.routing.UpstreamHealth

/**
 * Simulates one entry: its estimate of the load and health of each engine, and its decisions on routing, admission and
 * retries.
 */
internal class FakeEntry(
    private val region: String,
    private val variant: PolicyVariant,
    private val fleet: FleetSpec,
    private val policy: RoutingPolicy,
    private val engines: List<FakeEngine>,
) {
    private val admission = DeadlineAdmission(slackShare = ENTRY_SLACK_SHARE)
    private var tracker = LoadTracker(engines.first().speed)
    private var ejection = OutlierEjection()
    private var retryBudget = RetryBudget()

    /**
     * The engine for the next attempt of [request], or null if the request is refused.
     *
     * @param exactLoad the load of an engine without delay, which the oracle uses instead of the estimate; else null.
     */
    fun choose(request: SimulatedRequest, exactLoad: ((FakeEngine) -> LoadReport)?, nowMs: Long): FakeEngine? {
        val candidates = engines.map { candidate(it, exactLoad, nowMs) }
        val decision = policy.choose(routeRequest(request), candidates, nowMs)
        if (decision !is RouteDecision.Chosen) return null
        val engine = engines.first { it.id == decision.upstreamId }
        return engine.takeIf { !variant.admission || admits(request, it, decision.prediction, nowMs) }
    }

    /** Records an attempt of [request] at [engine]. The first attempt of a request adds to the retry budget. */
    fun onSent(request: SimulatedRequest, engine: FakeEngine) {
        if (request.attempts == 1) retryBudget = retryBudget.onRequest()
        tracker = tracker.started(engine.id, request.work)
    }

    /** Removes an attempt that has ended from the load of [engine]. */
    fun onEnded(request: SimulatedRequest, engine: FakeEngine) {
        tracker = tracker.ended(engine.id, request.work)
    }

    /** Stores a load report of [engine]. */
    fun onReport(engine: FakeEngine, report: LoadReport) {
        tracker = tracker.reported(engine.id, report)
    }

    /** Records the outcome of an attempt for the ejection of outliers. */
    fun onOutcome(engine: FakeEngine, failed: Boolean, nowMs: Long) {
        if (!variant.ejection) return
        ejection = if (failed) ejection.failed(engine.id, engines.size, nowMs) else ejection.succeeded(engine.id, nowMs)
    }

    /**
     * Withdraws a retry of [request] from the retry budget and returns true, or false if no retry is allowed. A variant
     * without retry budget limits only the attempts of each request.
     */
    fun tryAcquireRetry(request: SimulatedRequest): Boolean {
        if (request.attempts >= MAX_ATTEMPTS) return false
        if (!variant.retryBudget) return true
        retryBudget = retryBudget.withdraw() ?: return false
        return true
    }

    /** Latency of the link to [engine] in one direction. */
    fun latencyMs(engine: FakeEngine): Double =
        if (engine.region == region) fleet.sameRegionMs else fleet.otherRegionMs

    private fun admits(
        request: SimulatedRequest,
        engine: FakeEngine,
        prediction: FinishPrediction,
        nowMs: Long,
    ): Boolean {
        val decodeMs = engine.speed.decodeMs(request.work.decodeTokens).toLong()
        val firstToken = FinishPrediction(prediction.finishMs - decodeMs, prediction.unloadedFinishMs - decodeMs)
        return admission.decide(prediction, request.deadlineMs.toLong(), nowMs) is AdmissionDecision.Admit &&
            admission.decide(firstToken, request.firstTokenDeadlineMs.toLong(), nowMs) is AdmissionDecision.Admit
    }

    private fun routeRequest(request: SimulatedRequest): RouteRequest =
        RouteRequest(
            model = MODEL,
            work = request.work,
            prefixHash =
                request.prefixHash.takeIf { variant.affinity && request.kind.prefixTokens >= MIN_PREFIX_TOKENS },
            prefixTokens = request.kind.prefixTokens,
            bodyBytes = request.kind.promptTokens * BYTES_PER_TOKEN,
            deadlineMs = request.deadlineMs.toLong(),
            excluded = request.excluded.toSet(),
        )

    private fun candidate(engine: FakeEngine, exactLoad: ((FakeEngine) -> LoadReport)?, nowMs: Long): Candidate {
        val loadTracker = exactLoad?.let { LoadTracker(engine.speed).reported(engine.id, it(engine)) } ?: tracker
        return Candidate(
            upstreamId = engine.id,
            dataCentre = engine.region,
            region = engine.region,
            role = engine.role,
            accepting = !engine.draining && (exactLoad == null || engine.up),
            served = setOf(MODEL),
            load = loadTracker.estimate(engine.id, nowMs),
            link = Link(latencyMs(engine), if (engine.region == region) 0.0 else fleet.costPerMb),
            health = if (variant.ejection) ejection.health(engine.id, nowMs) else UpstreamHealth.GOOD,
        )
    }

    companion object {
        const val BYTES_PER_TOKEN = 4L
        private const val ENTRY_SLACK_SHARE = 1.0
        private const val MAX_ATTEMPTS = 3
        private const val MIN_PREFIX_TOKENS = 256L
        private val MODEL = ModelRef("model")
    }
}
