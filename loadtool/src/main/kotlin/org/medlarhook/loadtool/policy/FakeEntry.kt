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

/** The decisions of one entry, with its view of the engines. */
internal class FakeEntry(
    private val region: String,
    private val bundle: Bundle,
    private val fleet: FleetSpec,
    private val policy: RoutingPolicy,
    private val engines: List<FakeEngine>,
) {
    private val admission = DeadlineAdmission(slackShare = ENTRY_SLACK)
    private var tracker = LoadTracker(engines.first().speed)
    private var ejection = OutlierEjection()
    private var budget = RetryBudget()

    /** The engine for the next attempt of [job], or null if it is refused. */
    fun choose(job: Job, trueLoad: ((FakeEngine) -> LoadReport)?, nowMs: Long): FakeEngine? {
        val candidates = engines.map { candidate(it, trueLoad, nowMs) }
        val decision = policy.choose(request(job), candidates, nowMs)
        if (decision !is RouteDecision.Chosen) return null
        val engine = engines.first { it.id == decision.upstreamId }
        return engine.takeIf { !bundle.admission || admits(job, it, decision.prediction, nowMs) }
    }

    fun onSent(job: Job, engine: FakeEngine) {
        if (job.attempts == 1) budget = budget.onRequest()
        tracker = tracker.started(engine.id, job.work)
    }

    fun onEnded(job: Job, engine: FakeEngine) {
        tracker = tracker.ended(engine.id, job.work)
    }

    fun onReport(engine: FakeEngine, report: LoadReport) {
        tracker = tracker.reported(engine.id, report)
    }

    fun onAnswer(engine: FakeEngine, failed: Boolean, nowMs: Long) {
        if (!bundle.ejection) return
        ejection = if (failed) ejection.failed(engine.id, engines.size, nowMs) else ejection.succeeded(engine.id, nowMs)
    }

    /** Takes a retry from the budget; without a budget each request may be tried a fixed number of times. */
    fun mayRetry(job: Job): Boolean {
        if (job.attempts >= MAX_ATTEMPTS) return false
        if (!bundle.retryBudget) return true
        budget = budget.withdraw() ?: return false
        return true
    }

    fun latencyMs(engine: FakeEngine): Double =
        if (engine.region == region) fleet.sameRegionMs else fleet.otherRegionMs

    private fun admits(
        job: Job,
        engine: FakeEngine,
        prediction: FinishPrediction,
        nowMs: Long,
    ): Boolean {
        val decodeMs = engine.speed.decodeMs(job.work.decodeTokens).toLong()
        val first = FinishPrediction(prediction.finishMs - decodeMs, prediction.unloadedFinishMs - decodeMs)
        return admission.decide(prediction, job.deadlineMs.toLong(), nowMs) is AdmissionDecision.Admit &&
            admission.decide(first, job.firstTokenDueMs.toLong(), nowMs) is AdmissionDecision.Admit
    }

    private fun request(job: Job): RouteRequest =
        RouteRequest(
            model = MODEL,
            work = job.work,
            prefixHash = job.prefixHash.takeIf { bundle.affinity && job.kind.prefixTokens >= MIN_PREFIX_TOKENS },
            prefixTokens = job.kind.prefixTokens,
            bodyBytes = job.kind.promptTokens * BYTES_PER_TOKEN,
            deadlineMs = job.deadlineMs.toLong(),
            excluded = job.excluded.toSet(),
        )

    private fun candidate(engine: FakeEngine, trueLoad: ((FakeEngine) -> LoadReport)?, nowMs: Long): Candidate {
        val known = trueLoad?.let { LoadTracker(engine.speed).reported(engine.id, it(engine)) } ?: tracker
        return Candidate(
            upstreamId = engine.id,
            dataCentre = engine.region,
            region = engine.region,
            role = engine.role,
            accepting = !engine.draining && (trueLoad == null || engine.up),
            served = setOf(MODEL),
            load = known.estimate(engine.id, nowMs),
            link = Link(latencyMs(engine), if (engine.region == region) 0.0 else fleet.costPerMb),
            health = if (bundle.ejection) ejection.health(engine.id, nowMs) else UpstreamHealth.GOOD,
        )
    }

    companion object {
        const val BYTES_PER_TOKEN = 4L
        private const val ENTRY_SLACK = 1.0
        private const val MAX_ATTEMPTS = 3
        private const val MIN_PREFIX_TOKENS = 256L
        private val MODEL = ModelRef("model")
    }
}
