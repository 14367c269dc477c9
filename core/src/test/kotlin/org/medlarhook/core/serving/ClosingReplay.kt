package org.medlarhook.core.serving

import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.fleet.UpstreamClosings
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.retry.WindowedRetryBudget
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** What a process records of an engine that rejects a request and wants no others for some seconds. */
internal enum class ClosingPolicy(
    val recordedSeconds: (Double) -> Double,
) {
    HONOUR({ it }),
    IGNORE({ 0.0 }),
    NEVER_RETURN({ Double.POSITIVE_INFINITY }),
}

/**
 * What a replay with closed engines has shown.
 *
 * @property inTimeShare share of all requests whose first event came within the objective.
 * @property reachedClosed requests that reached a closed engine.
 * @property reachedLate those of them that came half a second or more after its first rejection to the same process.
 */
internal data class ClosingResult(
    val inTimeShare: Double,
    val reachedClosed: Int,
    val reachedLate: Int,
)

/**
 * Plays requests of several processes against engines that close themselves in turn, each for 1 to 10 s.
 *
 * @param load the work that arrives, divided by what the engines that are open can do.
 */
internal class ClosingReplay(
    private val policy: ClosingPolicy,
    seed: Int,
    private val load: Double,
) {
    private class Event(
        val atMs: Double,
        val run: () -> Unit,
    )

    private class Closing(
        val engine: Incarnation,
        val fromMs: Double,
        val untilMs: Double,
    )

    private class Process {
        val loads = HashMap<Incarnation, UpstreamLoad>()
        var closings = UpstreamClosings()
        var estimates = engineEstimates(otherStagesMsPerToken = MS_PER_TOKEN)
        var retries = WindowedRetryBudget(RETRY_RATIO, RETRY_SLACK / PROCESSES, RETRY_WINDOW_MS)
        val firstRejectionMs = HashMap<Closing, Double>()
    }

    private val random = Random(seed)
    private val placer = AffinityPlacer(FirstEventPredictor(Distances("a", persistentMapOf("a" to "r"))))
    private val engines = (1..ENGINES).map { upstream("e$it") { stage = null } }
    private val timeline = closingsInTurn()
    private val processes = List(PROCESSES) { Process() }
    private val freeAtMs = HashMap<Incarnation, Double>()
    private val waiting = HashMap<Incarnation, Int>()
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private var requests = 0
    private var inTime = 0
    private var reachedClosed = 0
    private var reachedLate = 0

    private fun closingsInTurn(): List<Closing> {
        val closings = ArrayList<Closing>()
        var atMs = 0.0
        while (atMs < DURATION_MS) {
            val endMs = atMs + random.nextDouble(MIN_CLOSED_MS, MAX_CLOSED_MS)
            closings += Closing(engines[closings.size % ENGINES].incarnation, atMs, endMs)
            atMs = endMs
        }
        return closings
    }

    fun play(): ClosingResult {
        val meanGapMs = PREFILL_MS / (ENGINES - 1) / load
        var atMs = 0.0
        while (atMs < DURATION_MS) {
            val arrivedAtMs = atMs
            val process = processes[random.nextInt(PROCESSES)]
            val number = requests++
            events += Event(arrivedAtMs) { arrive(process, number, arrivedAtMs) }
            atMs += -meanGapMs * ln(1 - random.nextDouble())
        }
        while (events.isNotEmpty()) events.poll().run()
        return ClosingResult(inTime.toDouble() / requests, reachedClosed, reachedLate)
    }

    private fun arrive(process: Process, number: Int, atMs: Double) {
        process.retries = process.retries.requested(atMs.toLong())
        val demand = demand {
            arrivedAtMs = atMs.toLong()
            sessionId = "s$number"
        }
        place(process, demand, "$number", emptySet(), atMs)
    }

    private fun place(process: Process, demand: Demand, key: String, tried: Set<String>, atMs: Double) {
        val nowMs = atMs.toLong()
        val open = engines.filterNot { process.closings.isClosed(it, nowMs) }
        val chosen = placer.place(demand, open, process.loads, tried, process.estimates, nowMs)
        if (chosen !is Placement.Chosen) return
        val engine = chosen.upstream.incarnation
        val known = process.loads[engine] ?: UpstreamLoad(chosen.upstream.slots)
        process.loads[engine] = known.sent(key, OwnAttempt(nowMs, chosen.prefillMs, chosen.decodeMs))
        val closing = timeline.firstOrNull { it.engine == engine && atMs >= it.fromMs && atMs < it.untilMs }
        if (closing == null) {
            serve(process, demand, key, chosen, atMs)
        } else {
            countRejection(process, closing, atMs)
            events += Event(atMs + ROUND_TRIP_MS) {
                rejected(process, demand, key, tried, chosen.upstream, closing, atMs)
            }
        }
    }

    private fun countRejection(process: Process, closing: Closing, atMs: Double) {
        reachedClosed++
        val firstMs = process.firstRejectionMs.getOrPut(closing) { atMs }
        if (atMs >= firstMs + LATE_MS) reachedLate++
    }

    private fun rejected(
        process: Process,
        demand: Demand,
        key: String,
        tried: Set<String>,
        upstream: Upstream,
        closing: Closing,
        rejectedAtMs: Double,
    ) {
        val nowMs = rejectedAtMs + ROUND_TRIP_MS
        val known = process.loads.getValue(upstream.incarnation)
        process.loads[upstream.incarnation] = known.copy(ownAttempts = known.ownAttempts.remove(key))
        val seconds = policy.recordedSeconds((closing.untilMs - rejectedAtMs) / MS_PER_S)
        val atMs = nowMs.toLong()
        process.closings = process.closings.closed(upstream, seconds, random.nextDouble(), atMs, nowWallMs = atMs)
        if (tried.size + 1 >= MAX_ATTEMPTS) return
        process.retries = process.retries.withdraw(nowMs.toLong()) ?: return
        place(process, demand, key, tried + upstream.id, nowMs)
    }

    private fun serve(process: Process, demand: Demand, key: String, chosen: Placement.Chosen, atMs: Double) {
        val engine = chosen.upstream.incarnation
        val endMs = maxOf(atMs, freeAtMs[engine] ?: 0.0) + PREFILL_MS
        freeAtMs[engine] = endMs
        waiting.merge(engine, 1, Int::plus)
        events += Event(endMs) {
            val waitingNow = waiting.merge(engine, -1, Int::plus)!!
            val error = process.estimates.error.observed(chosen.firstEventMs, endMs - atMs)
            process.estimates = process.estimates.copy(error = error)
            val known = process.loads.getValue(engine)
            process.loads[engine] =
                known.copy(ownAttempts = known.ownAttempts.remove(key)).withReportedLoad(waitingNow, 0, endMs.toLong())
            if (endMs <= demand.objectiveAtMs) inTime++
        }
    }

    private companion object {
        const val PROCESSES = 4
        const val ENGINES = 4
        const val DURATION_MS = 60_000.0
        const val MIN_CLOSED_MS = 1_000.0
        const val MAX_CLOSED_MS = 10_000.0
        const val LATE_MS = 500.0
        const val ROUND_TRIP_MS = 4.0
        const val MS_PER_S = 1_000.0
        const val MAX_ATTEMPTS = 4
        const val RETRY_RATIO = 0.2
        const val RETRY_SLACK = 50.0
        const val RETRY_WINDOW_MS = 10_000L
        const val MS_PER_TOKEN = 0.0023

        /** The prefill time for the prompts of [DemandBuilder] at that speed. */
        const val PREFILL_MS = 20.8
    }
}
