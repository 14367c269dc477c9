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

/** What a sidecar tells the entry about an attempt. */
internal interface AttemptListener {
    fun onRefused(job: Job, engine: FakeEngine)

    fun onFailed(job: Job, engine: FakeEngine)

    fun onDone(job: Job, engine: FakeEngine)
}

/** An engine with the queue and the admission of its sidecar. */
internal class FakeSidecar(
    val engine: FakeEngine,
    private val timeline: Timeline,
    private val listener: AttemptListener,
    private val weights: List<Int>,
    bundle: Bundle,
) {
    private val queue: RequestQueue<Job> = if (bundle.fairQueue) FairQueue(MAX_QUEUED) else FifoQueue(MAX_QUEUED)
    private val admission: AdmissionPolicy = if (bundle.admission) DeadlineAdmission() else AdmitAll
    private val waiting = mutableSetOf<Job>()

    /** All work of the upstream, as it would be reported. */
    fun report(): LoadReport {
        val queued = waiting.fold(WorkTokens.NONE) { sum, job -> sum + job.work }
        val work = engine.runningWork + queued
        return LoadReport(work, engine.running + waiting.size, engine.speed, timeline.nowMs.toLong())
    }

    fun offer(job: Job) {
        val nowMs = timeline.nowMs.toLong()
        if (!engine.up) return listener.onFailed(job, engine)
        if (engine.draining || !admits(job, nowMs)) return listener.onRefused(job, engine)
        val latestStartMs = if (admission == AdmitAll) job.deadlineMs.toLong() else latestStartMs(job)
        val result = queue.offer(nameOf(job), weights[job.workspace], costOf(job), 0, latestStartMs, nowMs, job)
        if (result is OfferResult.Accepted) {
            waiting += job
            result.displaced?.let { refuse(it) }
        } else {
            listener.onRefused(job, engine)
        }
        pump()
    }

    /** Fails everything that the engine and the queue hold. */
    fun crash() {
        val lost = engine.clear() + waiting
        engine.up = false
        generateSequence { queue.poll(Long.MIN_VALUE) }.forEach { _ -> }
        waiting.clear()
        lost.forEach { listener.onFailed(it, engine) }
    }

    fun pump() {
        queue.expire(timeline.nowMs.toLong()).forEach { refuse(it) }
        while (engine.up && engine.hasSlot) {
            val job = queue.poll(timeline.nowMs.toLong()) ?: break
            waiting -= job
            engine.start(job)
        }
        if (engine.up && !engine.busy && engine.running > 0) iterate()
    }

    private fun iterate() {
        engine.busy = true
        val epoch = engine.epoch
        timeline.after(engine.nextIterationMs()) {
            if (epoch != engine.epoch) return@after
            engine.busy = false
            engine.endIteration(timeline.nowMs).forEach { listener.onDone(it.job, engine) }
            pump()
        }
    }

    private fun admits(job: Job, nowMs: Long): Boolean {
        val ahead = queue.tokensAhead(nameOf(job), weights[job.workspace], costOf(job))
        val state = QueueState(engine.running, engine.runningWork, engine.speed.prefillMs(ahead), engine.speed)
        val prompt = (job.work.prefillTokens - engine.cachedOf(job.prefixHash)).coerceAtLeast(0)
        val whole = QueueFinishPredictor.predict(job.work.copy(prefillTokens = prompt), state, nowMs)
        val first = QueueFinishPredictor.predict(WorkTokens(prompt, 1), state, nowMs)
        return admission.decide(whole, job.deadlineMs.toLong(), nowMs) is AdmissionDecision.Admit &&
            admission.decide(first, job.firstTokenDueMs.toLong(), nowMs) is AdmissionDecision.Admit
    }

    /** The time after which a start is in vain. */
    private fun latestStartMs(job: Job): Long {
        val prompt = (job.work.prefillTokens - engine.cachedOf(job.prefixHash)).coerceAtLeast(0)
        val prefillMs = engine.speed.prefillMs(prompt + engine.runningWork.prefillTokens)
        val forFirstMs = job.firstTokenDueMs - prefillMs
        return minOf(forFirstMs, job.deadlineMs - prefillMs - engine.speed.decodeMs(job.work.decodeTokens)).toLong()
    }

    private fun refuse(job: Job) {
        waiting -= job
        listener.onRefused(job, engine)
    }

    private fun nameOf(job: Job): String = "w${job.workspace}"

    /** The engine's time for the job, counted in tokens of prefill. */
    private fun costOf(job: Job): Long {
        val prompt = job.work.prefillTokens - engine.cachedOf(job.prefixHash)
        val decode = job.work.decodeTokens * engine.speed.prefillTokensPerS / engine.speed.decodeTokensPerS
        return (prompt + decode).toLong().coerceAtLeast(1)
    }

    private companion object {
        const val MAX_QUEUED = 400
    }
}
