package org.medlarhook.loadtool.policy

import org.medlarhook.core.admission.AdmissionDecision
import org.medlarhook.core.admission.AdmissionPolicy
import org.medlarhook.core.admission.AdmitAll
import org.medlarhook.core.admission.DeadlineAdmission
import org.medlarhook.core.admission.QueueFinishPredictor
import org.medlarhook.core.admission.QueueState
import org.medlarhook.core.fairness.FairQueue
import org.medlarhook.core.fairness.FifoQueue
import org.medlarhook.core.fairness.OfferResult
import org.medlarhook.core.fairness.RequestQueue
import org.medlarhook.core.routing.LoadReport
import org.medlarhook.core.routing.WorkTokens

/** Receives the outcome of the attempts at a sidecar. */
internal interface AttemptListener {
    /** The sidecar refused [request], or removed it from its queue, before [engine] started it. */
    fun onRefused(request: SimulatedRequest, engine: FakeEngine)

    /** [engine] was down when [request] arrived, or crashed while the sidecar held the request. */
    fun onFailed(request: SimulatedRequest, engine: FakeEngine)

    /** [engine] completed [request]. */
    fun onDone(request: SimulatedRequest, engine: FakeEngine)
}

/** Simulates the sidecar of one engine: its admission and its request queue. */
internal class FakeSidecar(
    val engine: FakeEngine,
    private val scheduler: EventScheduler,
    private val listener: AttemptListener,
    private val weights: List<Int>,
    variant: PolicyVariant,
) {
    private val queue: RequestQueue<SimulatedRequest> =
        if (variant.fairQueue) FairQueue(MAX_QUEUED) else FifoQueue(MAX_QUEUED)
    private val admission: AdmissionPolicy = if (variant.admission) DeadlineAdmission() else AdmitAll
    private val waiting = mutableSetOf<SimulatedRequest>()

    /** The load report of the upstream, with the queued and the running work. */
    fun report(): LoadReport {
        val queued = waiting.fold(WorkTokens.NONE) { sum, request -> sum + request.work }
        val work = engine.runningWork + queued
        return LoadReport(work, engine.running + waiting.size, engine.speed, scheduler.nowMs.toLong())
    }

    /** Queues [request], or refuses it. */
    fun offer(request: SimulatedRequest) {
        val nowMs = scheduler.nowMs.toLong()
        if (!engine.up) return listener.onFailed(request, engine)
        if (engine.draining || !admits(request, nowMs)) return listener.onRefused(request, engine)
        val latestStartMs = if (admission == AdmitAll) request.deadlineMs.toLong() else latestStartMs(request)
        val result =
            queue.offer(
                workspaceNameOf(request),
                weights[request.workspaceIndex],
                costOf(request),
                0,
                latestStartMs,
                nowMs,
                request,
            )
        if (result is OfferResult.Accepted) {
            waiting += request
            result.displaced?.let { refuse(it) }
        } else {
            listener.onRefused(request, engine)
        }
        dispatchQueued()
    }

    /** Takes the engine down and fails all queued and running requests. */
    fun crash() {
        val lost = engine.clear() + waiting
        engine.up = false
        generateSequence { queue.poll(Long.MIN_VALUE) }.forEach { _ -> }
        waiting.clear()
        lost.forEach { listener.onFailed(it, engine) }
    }

    /** Refuses the requests that can no longer start in time, fills the free batch slots and starts an iteration. */
    fun dispatchQueued() {
        queue.expire(scheduler.nowMs.toLong()).forEach { refuse(it) }
        while (engine.up && engine.hasSlot) {
            val request = queue.poll(scheduler.nowMs.toLong()) ?: break
            waiting -= request
            engine.start(request)
        }
        if (engine.up && !engine.busy && engine.running > 0) iterate()
    }

    private fun iterate() {
        engine.busy = true
        val epoch = engine.epoch
        scheduler.scheduleAfter(engine.nextIterationMs()) {
            if (epoch != engine.epoch) return@scheduleAfter
            engine.busy = false
            engine.endIteration(scheduler.nowMs).forEach { listener.onDone(it.request, engine) }
            dispatchQueued()
        }
    }

    private fun admits(request: SimulatedRequest, nowMs: Long): Boolean {
        val tokensAhead = queue.tokensAhead(workspaceNameOf(request), weights[request.workspaceIndex], costOf(request))
        val state = QueueState(engine.running, engine.runningWork, engine.speed.prefillMs(tokensAhead), engine.speed)
        val uncachedTokens =
            (request.work.prefillTokens - engine.cachedPrefixTokens(request.prefixHash)).coerceAtLeast(0)
        val completion = QueueFinishPredictor.predict(request.work.copy(prefillTokens = uncachedTokens), state, nowMs)
        val firstToken = QueueFinishPredictor.predict(WorkTokens(uncachedTokens, 1), state, nowMs)
        return admission.decide(completion, request.deadlineMs.toLong(), nowMs) is AdmissionDecision.Admit &&
            admission.decide(firstToken, request.firstTokenDeadlineMs.toLong(), nowMs) is AdmissionDecision.Admit
    }

    /** The latest start with which the request is predicted to meet its first-token and final deadlines. */
    private fun latestStartMs(request: SimulatedRequest): Long {
        val uncachedTokens =
            (request.work.prefillTokens - engine.cachedPrefixTokens(request.prefixHash)).coerceAtLeast(0)
        val prefillMs = engine.speed.prefillMs(uncachedTokens + engine.runningWork.prefillTokens)
        val latestForFirstTokenMs = request.firstTokenDeadlineMs - prefillMs
        return minOf(
            latestForFirstTokenMs,
            request.deadlineMs - prefillMs - engine.speed.decodeMs(request.work.decodeTokens),
        ).toLong()
    }

    private fun refuse(request: SimulatedRequest) {
        waiting -= request
        listener.onRefused(request, engine)
    }

    private fun workspaceNameOf(request: SimulatedRequest): String = "w${request.workspaceIndex}"

    /** Engine time for the request, in the tokens that the engine could prefill in that time. */
    private fun costOf(request: SimulatedRequest): Long {
        val uncachedTokens = request.work.prefillTokens - engine.cachedPrefixTokens(request.prefixHash)
        val decodeCost = request.work.decodeTokens * engine.speed.prefillTokensPerS / engine.speed.decodeTokensPerS
        return (uncachedTokens + decodeCost).toLong().coerceAtLeast(1)
    }

    private companion object {
        const val MAX_QUEUED = 400
    }
}
