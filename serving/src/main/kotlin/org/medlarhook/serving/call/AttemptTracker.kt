package org.medlarhook.serving.call

import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement

/** Keeps the load of one attempt's upstream up to date while the attempt runs. */
internal class AttemptTracker(
    private val serving: ServingLoop,
    private val demand: Demand,
    private val chosen: Placement.Chosen,
    private val sentAtMs: Long,
    private val upstream: Upstream,
    private val onBegan: () -> Unit,
) {
    private val incarnation = upstream.incarnation
    private val isReader = upstream == chosen.prefill
    private val predictedMs = if (isReader) chosen.readyMs else chosen.firstEventMs - chosen.readyMs
    private val key = "${sequence++}"
    private var hasRun = false
    private var hasFirstToken = false

    init {
        val prefillMs = if (isReader || chosen.prefill == null) chosen.prefillMs else 0.0
        val decodeMs = if (isReader) 0.0 else chosen.decodeMs
        update { it.sent(key, OwnAttempt(sentAtMs, prefillMs, decodeMs)) }
    }

    /** The upstream has told its load. */
    fun answered(head: UpstreamHead) {
        val told = head.load ?: return
        update { it.withReportedLoad(told.running, told.waiting, serving.nowMs()) }
    }

    /** The request has begun to run. */
    fun ran() {
        if (hasRun) return
        hasRun = true
        onBegan()
    }

    /** The first token is there. */
    fun firstToken() {
        if (hasFirstToken) return
        hasFirstToken = true
        if (!isReader) ran()
        val nowMs = serving.nowMs()
        val observedMs = (nowMs - sentAtMs).toDouble()
        update { load ->
            val started = load.ownAttempts[key]?.copy(hasFirstToken = true)
            load.copy(
                ownAttempts = if (started == null) load.ownAttempts else load.ownAttempts.put(key, started),
                speed = load.speed.observed(predictedMs, observedMs),
                cache =
                    demand.generation?.let { load.cache.prefilled(it.parts, demand.engine?.cacheTokens ?: 0) }
                        ?: load.cache,
            )
        }
    }

    fun notRun(head: UpstreamHead) {
        val nowMs = serving.nowMs()
        update { load ->
            val freed = load.copy(ownAttempts = load.ownAttempts.remove(key))
            if (head.isMisdirected) freed.copy(failures = load.failures.failed(nowMs)) else freed
        }
    }

    fun ended(isSound: Boolean) {
        val nowMs = serving.nowMs()
        val observedMs = (nowMs - sentAtMs).toDouble()
        update { load ->
            load.copy(
                ownAttempts = load.ownAttempts.remove(key),
                failures = if (isSound) load.failures.succeeded() else load.failures.failed(nowMs),
                speed = if (demand.generation == null) load.speed.observed(predictedMs, observedMs) else load.speed,
            )
        }
    }

    fun failed(wasSent: Boolean) {
        if (wasSent && demand.generation == null) ran()
        val nowMs = serving.nowMs()
        update { it.copy(ownAttempts = it.ownAttempts.remove(key), failures = it.failures.failed(nowMs)) }
    }

    /** The attempt was given up; that says nothing of the upstream. */
    fun abandoned() {
        update { it.copy(ownAttempts = it.ownAttempts.remove(key)) }
    }

    private fun update(change: (UpstreamLoad) -> UpstreamLoad) = serving.updateLoad(incarnation, upstream.slots, change)

    private companion object {
        var sequence = 0L
    }
}
