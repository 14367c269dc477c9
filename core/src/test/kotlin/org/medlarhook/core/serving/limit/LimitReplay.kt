package org.medlarhook.core.serving.limit

import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.demand
import org.medlarhook.core.serving.engineEstimates
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.upstream
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** What a process does about an engine that limits its requests. */
internal enum class LimitPolicy {
    /** Sends its turns. */
    SHARE,

    /** Sends what the limit allows all processes, as if it were the only one. */
    ALONE,
    IGNORE,

    /** Sends nothing. */
    AVOID,
}

/**
 * What a replay with a limited engine has shown.
 *
 * @property inTimeShare share of all requests whose first event came within the objective.
 * @property mostIn4S the most requests that reached the limited engine in any 4 s.
 */
internal data class LimitResult(
    val inTimeShare: Double,
    val mostIn4S: Int,
)

/**
 * Plays requests that arrive unevenly at several processes against engines of which one is slow and limits its requests
 * to what it can do.
 *
 * @param load the work that arrives, divided by what all engines can do.
 */
internal class LimitReplay(
    private val policy: LimitPolicy,
    seed: Int,
    private val processCount: Int,
    private val limitPerS: Double,
    private val load: Double,
) {
    private class Event(
        val atMs: Double,
        val run: () -> Unit,
    )

    private class Process(
        var limits: UpstreamLimits,
    ) {
        val loads = HashMap<Incarnation, UpstreamLoad>()
        var estimates = engineEstimates(otherStagesMsPerToken = MS_PER_TOKEN)
    }

    private val random = Random(seed)
    private val placer = AffinityPlacer(FirstEventPredictor(Distances("a", persistentMapOf("a" to "r"))))
    private val engines = (1..ENGINES).map { upstream("e$it") { stage = null } }
    private val limited = engines.first().incarnation
    private val processes = List(processCount) { Process(limitsOf(it)) }
    private val freeAtMs = HashMap<Incarnation, Double>()
    private val inQueue = HashMap<Incarnation, Int>()
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private val reachedLimitedMs = ArrayList<Double>()
    private var requests = 0
    private var inTime = 0

    private fun limitsOf(rank: Int): UpstreamLimits {
        val share = ProcessShare(rank, processCount, clockOffsetMs = 0, freshUntilMs = Long.MAX_VALUE)
        val used = if (policy == LimitPolicy.ALONE) share.copy(rank = 0, processes = 1) else share
        return UpstreamLimits().withShare(used).said(limited, limitPerS, asOfMs = 0)
    }

    fun play(): LimitResult {
        val perS = ((ENGINES - 1) * MS_PER_S / PREFILL_MS + limitPerS) * load
        var atMs = 0.0
        while (atMs < DURATION_MS) {
            val arrivedAtMs = atMs
            val process = processes[(processCount * random.nextDouble() * random.nextDouble()).toInt()]
            val number = requests++
            events += Event(arrivedAtMs) { arrive(process, number, arrivedAtMs) }
            atMs += -MS_PER_S / perS * ln(1 - random.nextDouble())
        }
        while (events.isNotEmpty()) events.poll().run()
        val most = reachedLimitedMs.maxOfOrNull { from -> reachedLimitedMs.count { it in from..<from + WINDOW_MS } }
        return LimitResult(inTime.toDouble() / requests, most ?: 0)
    }

    private fun isOpen(process: Process, engine: Upstream, nowMs: Long): Boolean =
        engine.incarnation != limited ||
            when (policy) {
                LimitPolicy.SHARE, LimitPolicy.ALONE -> process.limits.openings(limited, nowMs).first() <= nowMs
                LimitPolicy.IGNORE -> true
                LimitPolicy.AVOID -> false
            }

    private fun arrive(process: Process, number: Int, atMs: Double) {
        val nowMs = atMs.toLong()
        val demand = demand {
            arrivedAtMs = nowMs
            sessionId = "s$number"
        }
        val open = engines.filter { isOpen(process, it, nowMs) }
        val chosen = placer.place(demand, open, process.loads, emptySet(), process.estimates, nowMs)
        if (chosen !is Placement.Chosen) return
        val engine = chosen.upstream.incarnation
        if (engine == limited) {
            process.limits = process.limits.withdraw(limited, nowMs) ?: process.limits
            reachedLimitedMs += atMs
        }
        val known = process.loads[engine] ?: UpstreamLoad(chosen.upstream.slots)
        process.loads[engine] = known.sent("$number", OwnAttempt(nowMs, chosen.prefillMs, chosen.decodeMs))
        val workMs = if (engine == limited) MS_PER_S / limitPerS else PREFILL_MS
        val endMs = maxOf(atMs, freeAtMs[engine] ?: 0.0) + workMs
        freeAtMs[engine] = endMs
        inQueue.merge(engine, 1, Int::plus)
        events += Event(endMs) {
            val inQueueNow = inQueue.merge(engine, -1, Int::plus)!!
            val error = process.estimates.error.observed(chosen.firstEventMs, endMs - atMs)
            process.estimates = process.estimates.copy(error = error)
            val current = process.loads.getValue(engine)
            process.loads[engine] =
                current.copy(ownAttempts = current.ownAttempts.remove("$number"))
                    .withReportedLoad(inQueueNow, 0, endMs.toLong())
            if (endMs <= demand.objectiveAtMs) inTime++
        }
    }

    private companion object {
        const val ENGINES = 4
        const val DURATION_MS = 60_000.0
        const val WINDOW_MS = 4_000.0
        const val MS_PER_S = 1_000.0
        const val MS_PER_TOKEN = 0.0023

        /** The prefill time for the usual prompt at that speed. */
        const val PREFILL_MS = 20.8
    }
}
