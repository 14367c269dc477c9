package org.medlarhook.serving.second

import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.second.Alternative
import org.medlarhook.core.serving.second.ExtraWork
import org.medlarhook.core.serving.second.LateRequest
import org.medlarhook.core.serving.second.NotSentReason
import org.medlarhook.core.serving.second.RequestClass
import org.medlarhook.core.serving.second.SecondAttemptDecision
import org.medlarhook.core.serving.second.SecondAttemptPolicy
import org.medlarhook.core.serving.second.ServicePressure
import org.medlarhook.core.serving.second.TimesByClass
import org.medlarhook.serving.call.Attempt
import org.medlarhook.serving.call.ServingLoop

/**
 * Keeps what this process needs to decide on second attempts: the recent times of requests, the work of each service,
 * and when it last had too much of it. Used on the event loop only. Keeps nothing while [share] is 0.
 */
internal class SecondAttempts(
    private val serving: ServingLoop,
    val log: SecondAttemptLog,
) {
    private var policy = SecondAttemptPolicy(share = 0.0)
    private var times = TimesByClass()
    private val work = HashMap<String, ExtraWork>()
    private val shedAtMs = HashMap<String, Long>()

    /** The share of a service's work that second attempts may add, or 0 for none. Set before requests are served. */
    var share = 0.0
        set(value) {
            field = value
            policy = SecondAttemptPolicy(value)
            if (isOn) log.allowed(value)
        }

    /** True if the operator allows second attempts. */
    val isOn: Boolean get() = share > 0

    /** What the upstreams do for a request that is placed as [chosen]. */
    private fun workMs(chosen: Placement.Chosen): Double = chosen.prefillMs + chosen.decodeMs

    private fun workOf(service: String): ExtraWork = work[service] ?: ExtraWork()

    /** Counts the work of a request that is sent as [chosen]. */
    fun sent(demand: Demand, chosen: Placement.Chosen, nowMs: Long) {
        if (isOn) work[demand.service] = workOf(demand.service).done(workMs(chosen), nowMs)
    }

    /** Records that an upstream took [ms] for the answer, or first event, of a request that was sent as [chosen]. */
    fun observed(demand: Demand, chosen: Placement.Chosen, ms: Double) {
        if (isOn) times = times.with(classOf(demand, chosen), ms)
    }

    /** Records that [service] refused a request for want of room. */
    fun shed(service: String, nowMs: Long) {
        if (isOn) shedAtMs[service] = nowMs
    }

    /** Requests of one class look alike to this process, so that a slow one is slow by its upstream. */
    private fun classOf(demand: Demand, chosen: Placement.Chosen): RequestClass {
        val tokens = demand.generation?.let { it.promptTokens - chosen.cachedTokens } ?: 0
        return RequestClass.of(demand.service, demand.route.name, tokens)
    }

    /** The request that waits for the answer of [attempt]. */
    fun lateRequest(demand: Demand, attempt: Attempt): LateRequest {
        val chosen = attempt.dispatch.chosen
        return LateRequest(
            mayRunAgain = demand.route.mayRunAgain,
            isAnswering = attempt.isAnswering,
            sentAtMs = attempt.dispatch.atMs,
            predictedMs = chosen.firstEventMs,
            deadlineAtMs = demand.deadlineAtMs,
            times = times.of(classOf(demand, chosen)),
        )
    }

    /** When the answer to [request] counts as late, or null if that can't be told. */
    fun lateAtMs(request: LateRequest): Long? = policy.lateAtMs(request)

    /** Decides on [request] of [demand], which may go to [alternative] as well. */
    fun decide(request: LateRequest, demand: Demand, alternative: Placement, nowMs: Long): SecondAttemptDecision {
        val chosen = (alternative as? Placement.Chosen)?.takeIf { mayTakeExtra(it) }
        return policy.decide(request, chosen?.let { alternativeAt(it, nowMs) }, pressureOf(demand, nowMs), nowMs)
    }

    private fun mayTakeExtra(chosen: Placement.Chosen): Boolean =
        chosen.prefill == null && !serving.availability.isLimited(chosen.upstream.incarnation)

    private fun alternativeAt(chosen: Placement.Chosen, nowMs: Long): Alternative {
        val load = serving.loadView[chosen.upstream.incarnation] ?: UpstreamLoad(chosen.upstream.slots)
        val isAvoided = load.failures.isAvoided(nowMs)
        return Alternative(chosen.firstEventMs, load.requestsAt(nowMs), chosen.upstream.slots, isAvoided)
    }

    private fun pressureOf(demand: Demand, nowMs: Long): ServicePressure {
        val upstreams = serving.registry.serving(demand.service)
        val requests = upstreams.sumOf { serving.loadView[it.incarnation]?.requestsAt(nowMs) ?: 0.0 }
        val slots = upstreams.sumOf { it.slots }.coerceAtLeast(1)
        return ServicePressure(requests / slots, shedAtMs[demand.service])
    }

    /** Takes the work of a second attempt at [chosen] out of the share; returns false if that is used up. */
    fun withdraw(demand: Demand, chosen: Placement.Chosen, nowMs: Long): Boolean {
        work[demand.service] = workOf(demand.service).withdraw(workMs(chosen), share, nowMs) ?: return false
        return true
    }

    /** Records that [demand] gets no second attempt. */
    fun notSent(demand: Demand, reason: NotSentReason, nowMs: Long) = log.notSent(demand.service, reason, nowMs)

    /** True if the first of two attempts is the one to give up after both ran for the longest time allowed. */
    fun isFirstLater(request: LateRequest, secondSentAtMs: Long, nowMs: Long): Boolean =
        policy.isFirstLater(request.sentAtMs, secondSentAtMs, request.times, nowMs)
}
