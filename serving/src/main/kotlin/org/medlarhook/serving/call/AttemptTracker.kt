package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement

/** Updates the [UpstreamLoad] of one attempt's upstream while the attempt runs. */
internal class AttemptTracker(
    private val serving: ServingLoop,
    private val demand: Demand,
    private val chosen: Placement.Chosen,
    private val sentAtMs: Long,
    val upstream: Upstream,
    private val onRunStarted: () -> Unit,
) {
    private val incarnation = upstream.incarnation
    private val isPrefill = upstream == chosen.prefill
    private val predictedMs = if (isPrefill) chosen.readyMs else chosen.firstEventMs - chosen.readyMs
    private val key = "${sequence++}"
    private val placedWorkTime = relativeWorkTime(sentAtMs)
    private var answeredWorkTime = placedWorkTime

    /** The prediction with the work time that the answer reports, so that speeds are learned without that. */
    private val correctedMs: Double get() = predictedMs * answeredWorkTime / placedWorkTime
    private var hasRunStarted = false
    private var hasFirstToken = false
    private var firstTokenAtMs = 0L

    /** True where the engine continues from a cache that another one has prefilled. */
    private val continuesCopy = !isPrefill && chosen.prefill != null

    init {
        val prefillMs = if (isPrefill || chosen.prefill == null) chosen.prefillMs else 0.0
        val decodeMs = if (isPrefill) 0.0 else chosen.decodeMs
        update { it.sent(key, OwnAttempt(sentAtMs, prefillMs, decodeMs)) }
    }

    /** Records the load report in the answer's [head], if there is one; another upstream's says nothing of this one. */
    fun headReceived(head: UpstreamHead) {
        val reported = head.load?.counts ?: return
        if (head.isMisdirected) return
        val nowMs = serving.nowMs()
        val previous = serving.loadView[incarnation]?.workTime
        val reading =
            reported.workTime?.let { serving.estimatesOf(demand.service).workTimes.reading(previous, it, nowMs) }
        if (reading != null) {
            serving.updateEstimates(demand.service) { it.copy(workTimes = it.workTimes.observed(previous, reading)) }
        }
        update {
            it.withReportedLoad(reported.running, reported.waiting, nowMs).copy(workTime = reading ?: it.workTime)
        }
        answeredWorkTime = relativeWorkTime(nowMs)
    }

    /** Records that the upstream has begun to run the request. */
    fun runStarted() {
        if (hasRunStarted) return
        hasRunStarted = true
        onRunStarted()
    }

    /** Records the first token: its delay, and that the engine now caches the prompt. */
    fun firstTokenReceived() {
        if (hasFirstToken) return
        hasFirstToken = true
        if (!isPrefill) runStarted()
        val nowMs = serving.nowMs()
        firstTokenAtMs = nowMs
        val observedMs = (nowMs - sentAtMs).toDouble()
        if (!continuesCopy) {
            serving.updateEstimates(demand.service) {
                it.firstEvent(chosen, observedMs, upstream.stage, answeredWorkTime)
            }
        }
        if (!isPrefill && !continuesCopy) serving.secondAttempts.observed(demand, chosen, observedMs)
        update { load ->
            val started = load.ownAttempts[key]?.copy(hasFirstToken = true)
            load.copy(
                ownAttempts = if (started == null) load.ownAttempts else load.ownAttempts.put(key, started),
                speed = if (continuesCopy) load.speed else load.speed.observed(correctedMs, observedMs),
                decodeSpeed =
                    if (continuesCopy) load.decodeSpeed.observed(correctedMs, observedMs) else load.decodeSpeed,
                cache =
                    demand.generation?.let { load.cache.prefilled(it.parts, demand.engine?.cacheTokens ?: 0) }
                        ?: load.cache,
            )
        }
    }

    /** Removes an attempt that the upstream did not run; only a wrong address counts as a failure. */
    fun notRun(head: UpstreamHead) {
        val nowMs = serving.nowMs()
        update { load ->
            val freed = load.copy(ownAttempts = load.ownAttempts.remove(key))
            if (head.isMisdirected) freed.copy(failures = load.failures.failed(nowMs)) else freed
        }
    }

    private fun decodeObserved(nowMs: Long) {
        val tokens = demand.generation?.outputTokens ?: return
        val decodeMs = (nowMs - firstTokenAtMs) / answeredWorkTime
        serving.updateEstimates(demand.service) { it.copy(rates = it.rates.decoded(tokens, decodeMs)) }
    }

    /** Removes an attempt whose answer is complete. */
    fun ended(isSuccess: Boolean) {
        val nowMs = serving.nowMs()
        if (isSuccess && !isPrefill && hasFirstToken) decodeObserved(nowMs)
        val observedMs = (nowMs - sentAtMs).toDouble()
        if (isSuccess && demand.generation == null) {
            serving.updateEstimates(demand.service) { it.answered(demand.route.name, observedMs) }
            if (!hasFirstToken) serving.secondAttempts.observed(demand, chosen, observedMs)
        }
        update { load ->
            load.copy(
                ownAttempts = load.ownAttempts.remove(key),
                failures = if (isSuccess) load.failures.succeeded() else load.failures.failed(nowMs),
                speed = if (demand.generation == null) load.speed.observed(correctedMs, observedMs) else load.speed,
            )
        }
    }

    /** Removes an attempt that failed. If [wasSent], a plain request may have run, and counts as such. */
    fun failed(wasSent: Boolean) {
        if (wasSent && demand.generation == null) runStarted()
        val nowMs = serving.nowMs()
        update { it.copy(ownAttempts = it.ownAttempts.remove(key), failures = it.failures.failed(nowMs)) }
    }

    /** Removes the attempt. It was given up by this process, so it counts neither as success nor as failure. */
    fun abandoned() {
        update { it.copy(ownAttempts = it.ownAttempts.remove(key)) }
    }

    /** Removes an attempt that is slower than a later one. It would have taken longer than it has taken so far. */
    fun outrun() {
        val elapsedMs = (serving.nowMs() - sentAtMs).toDouble()
        serving.secondAttempts.observed(demand, chosen, elapsedMs)
        if (demand.generation != null && elapsedMs > chosen.firstEventMs) {
            serving.firstEventObserved(demand.service, chosen.firstEventMs, elapsedMs)
        }
        update { load ->
            val isSlower = elapsedMs > predictedMs * load.speed.ratio
            load.copy(
                ownAttempts = load.ownAttempts.remove(key),
                speed = if (isSlower) load.speed.observed(predictedMs, elapsedMs) else load.speed,
            )
        }
    }

    private fun relativeWorkTime(nowMs: Long): Double =
        serving.estimatesOf(demand.service).workTimes.relativeAt(serving.loadView[incarnation]?.workTime, nowMs)

    private fun update(change: (UpstreamLoad) -> UpstreamLoad) = serving.updateLoad(incarnation, upstream.slots, change)

    private companion object {
        var sequence = 0L
    }
}
