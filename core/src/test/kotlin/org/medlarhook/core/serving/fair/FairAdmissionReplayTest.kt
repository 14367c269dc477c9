package org.medlarhook.core.serving.fair

import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.demand
import org.medlarhook.core.serving.engineEstimates
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.refuse.RetryAfterPolicy
import org.medlarhook.core.serving.route
import org.medlarhook.core.serving.upstream
import org.medlarhook.core.serving.usage.ProcessCount
import org.medlarhook.core.serving.usage.WindowCounts
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Replays crowds of skewed workspaces at several processes, which send to the same engines. */
class FairAdmissionReplayTest {
    private enum class Fairness { ARRIVAL_ORDER, WITHIN_PROCESS, OVER_PROCESSES }

    private enum class Crowd { REPEATS_AT_ONCE, WAVES, LARGEST_PROMPTS, HOMES }

    private class Event(
        val atMs: Double,
        val run: () -> Unit,
    )

    private class Figures {
        val asked = IntArray(WORKSPACES)
        val inTime = IntArray(WORKSPACES)
        val askedByPriority = IntArray(2)
        val refusedByPriority = IntArray(2)
        var refusedWhileFree = 0
        val mean get() = inTime.sum().toDouble() / asked.sum()
        val worstTenth
            get() = asked.indices.map { inTime[it].toDouble() / asked[it] }.sorted().take(WORKSPACES / 10).average()

        fun refusedShare(priority: Int) = refusedByPriority[priority].toDouble() / askedByPriority[priority]
    }

    private class Process {
        val loads = HashMap<Incarnation, UpstreamLoad>()
        var estimates = engineEstimates(otherStagesMsPerToken = MS_PER_TOKEN)
        var shares = WorkspaceShares()
        var told: ToldCounts? = null
        val begun = HashMap<String, Long>()
    }

    private inner class Replay(
        private val fairness: Fairness,
        private val crowd: Crowd,
        seed: Int,
        private val load: Double,
        private val figures: Figures,
    ) {
        private val random = Random(seed)
        private val retryAfter = RetryAfterPolicy(random)
        private val predictor = FirstEventPredictor(Distances("a", persistentMapOf("a" to "r")))
        private val placer = AffinityPlacer(predictor)
        private val engines = List(ENGINES) { upstream("e$it") { stage = null } }
        private val processes = List(PROCESSES) { Process() }
        private val freeAtMs = HashMap<Incarnation, Double>()
        private val waiting = HashMap<Incarnation, Int>()
        private val events = PriorityQueue<Event>(compareBy { it.atMs })
        private val weights = List(WORKSPACES) { (it + 1.0).pow(-SKEW) }

        private fun workspaceAt(atMs: Double): Int {
            val isLargeAsking = crowd != Crowd.WAVES || (atMs / WAVE_MS).toInt() % 2 == 0
            val drawn = weights.mapIndexed { i, weight -> if (i == 0 && !isLargeAsking) 0.0 else weight }
            var rest = random.nextDouble() * drawn.sum()
            return drawn.indexOfFirst { weight -> (rest - weight).also { rest = it } < 0 }.coerceAtLeast(0)
        }

        /** Callers reach any process, or those of their workspace's zone; the large workspace calls from all. */
        private fun processOf(workspace: Int): Process =
            if (crowd != Crowd.HOMES || workspace == 0) {
                processes.random(random)
            } else {
                processes[(workspace * 2 + random.nextInt(2)) % PROCESSES]
            }

        fun run() {
            var atMs = 0.0
            while (atMs < LASTS_MS) {
                val loadNow = if ((atMs / CROWD_MS).toInt() % 2 == 0) load else minOf(load, QUIET_LOAD)
                atMs -= PREFILL_MS / ENGINES / loadNow * ln(1 - random.nextDouble())
                val workspace = workspaceAt(atMs)
                val isLargePrompt = crowd == Crowd.LARGEST_PROMPTS && workspace == 0
                val demand = demand {
                    route = route { objectiveMs = OBJECTIVE_MS }
                    arrivedAtMs = atMs.toLong()
                    promptTokens = if (isLargePrompt) 3 * TOKENS else TOKENS
                    outputTokens = 2
                    sessionId = "s${random.nextInt()}"
                }.copy(workspace = "w$workspace", priority = random.nextInt(2))
                figures.asked[workspace]++
                val arrivesAtMs = atMs
                events += Event(atMs) { ask(demand, processOf(workspace), arrivesAtMs, arrivesAtMs) }
            }
            for (window in 1..(LASTS_MS / WINDOW_MS)) events += Event(window * WINDOW_MS + 100.0) { tell(window) }
            while (events.isNotEmpty()) events.poll().run()
        }

        private fun tell(window: Int) {
            val counts = processes.withIndex().associate { (i, it) -> "p$i" to ProcessCount(it.begun.toMap(), true) }
            processes.forEachIndexed { i, process ->
                process.begun.clear()
                if (fairness != Fairness.OVER_PROCESSES) return@forEachIndexed
                process.told =
                    ToldCounts.of(WindowCounts(counts), "p$i", WINDOW_MS.toLong(), window * WINDOW_MS.toLong())
            }
        }

        private fun ask(demand: Demand, process: Process, atMs: Double, firstAtMs: Double) {
            val nowMs = atMs.toLong()
            val standing =
                process.shares.division("lm", process.told, nowMs).standing(demand.workspace!!, demand.priority)
            val judged = if (fairness == Fairness.ARRIVAL_ORDER) demand else demand.copy(standing = standing)
            val placement = placer.place(judged, engines, process.loads, emptySet(), process.estimates, nowMs)
            process.shares = process.shares.recorded(judged, placement, nowMs).pruned(nowMs)
            figures.askedByPriority[demand.priority]++
            when (placement) {
                is Placement.Chosen -> begin(demand, process, placement, atMs, firstAtMs)
                is Placement.NoCapacity -> {
                    if (hasFreePlace(demand, process, nowMs)) figures.refusedWhileFree++
                    figures.refusedByPriority[demand.priority]++
                    retry(demand, placement, atMs, firstAtMs)
                }
                else -> error("$placement")
            }
        }

        private fun hasFreePlace(demand: Demand, process: Process, nowMs: Long): Boolean =
            predictor.options(demand, engines, emptyList(), process.loads, process.estimates, nowMs)
                .any { it.hasFreePlace && it.chosen.firstEventMs <= demand.deadlineAtMs - nowMs }

        private fun retry(demand: Demand, refused: Placement.NoCapacity, atMs: Double, firstAtMs: Double) {
            val repeatsAtOnce = crowd == Crowd.REPEATS_AT_ONCE && demand.workspace == "w0"
            if (!repeatsAtOnce && atMs > firstAtMs) return
            val remainingMs = demand.deadlineAtMs - atMs.toLong()
            val pauseMs = if (repeatsAtOnce) {
                AT_ONCE_MS
            } else {
                retryAfter.retryAfterMs(
                    remainingMs,
                    refused.admissibleInMs,
                )
            }
            if (pauseMs >= remainingMs) return
            val againAtMs = atMs + pauseMs
            val workspace = demand.workspace!!.drop(1).toInt()
            val again = demand.copy(arrivedAtMs = againAtMs.toLong())
            events += Event(againAtMs) { ask(again, processOf(workspace), againAtMs, firstAtMs) }
        }

        private fun begin(
            demand: Demand,
            process: Process,
            placed: Placement.Chosen,
            atMs: Double,
            firstAtMs: Double,
        ) {
            val engine = placed.upstream.incarnation
            val key = "${demand.workspace}/$atMs"
            val takesMs = (demand.generation!!.promptTokens - placed.cachedTokens) * MS_PER_TOKEN
            val endMs = maxOf(atMs, freeAtMs[engine] ?: 0.0) + takesMs
            freeAtMs[engine] = endMs
            waiting.merge(engine, 1, Int::plus)
            process.loads[engine] = (process.loads[engine] ?: UpstreamLoad(placed.upstream.slots))
                .sent(key, OwnAttempt(atMs.toLong(), placed.prefillMs, placed.decodeMs))
            process.begun.merge(demand.workspace!!, 1, Long::plus)
            events += Event(endMs) {
                val waitingNow = waiting.merge(engine, -1, Int::plus)!!
                val load = process.loads.getValue(engine)
                val error = process.estimates.error.observed(placed.firstEventMs, endMs - atMs)
                process.estimates = process.estimates.copy(error = error)
                process.loads[engine] =
                    load.copy(ownAttempts = load.ownAttempts.remove(key))
                        .withReportedLoad(waitingNow, 0, endMs.toLong())
                if (endMs - firstAtMs <= OBJECTIVE_MS) figures.inTime[demand.workspace!!.drop(1).toInt()]++
            }
        }
    }

    private fun replay(fairness: Fairness, crowd: Crowd, load: Double = 1.6): Figures =
        Figures().also { figures ->
            (1..SEEDS).forEach { seed -> Replay(fairness, crowd, seed, load, figures).run() }
        }

    private fun checkFair(crowd: Crowd) {
        val arrivalOrder = replay(Fairness.ARRIVAL_ORDER, crowd)
        val withinProcess = replay(Fairness.WITHIN_PROCESS, crowd)
        val fair = replay(Fairness.OVER_PROCESSES, crowd)
        val found = listOf(arrivalOrder, withinProcess, fair).joinToString { figures ->
            "worst tenth %.3f mean %.3f refused %.3f/%.3f".format(
                figures.worstTenth,
                figures.mean,
                figures.refusedShare(0),
                figures.refusedShare(1),
            )
        }
        assertTrue(fair.worstTenth >= arrivalOrder.worstTenth + GAIN, found)
        assertTrue(fair.worstTenth >= withinProcess.worstTenth - NOISE, found)
        assertTrue(fair.mean >= arrivalOrder.mean - NOISE, found)
        assertEquals(0, fair.refusedWhileFree, found)
        assertTrue(fair.refusedShare(0) <= fair.refusedShare(1) + NOISE, found)
    }

    @Test
    fun `Given a large workspace that repeats at once, then the small ones are served in time`() =
        checkFair(Crowd.REPEATS_AT_ONCE)

    @Test
    fun `Given a large workspace that sends in waves, then the small ones are served in time`() = checkFair(Crowd.WAVES)

    @Test
    fun `Given a large workspace with the largest prompts, then the small ones are served in time`() =
        checkFair(Crowd.LARGEST_PROMPTS)

    @Test
    fun `Given small workspaces that call the processes of one zone, then they are served in time`() =
        checkFair(Crowd.HOMES)

    private companion object {
        const val PROCESSES = 12
        const val WORKSPACES = 40
        const val ENGINES = 6
        const val SKEW = 1.2
        const val SEEDS = 2
        const val LASTS_MS = 20_000
        const val CROWD_MS = 3_000.0
        const val WAVE_MS = 1_500.0
        const val WINDOW_MS = 5_000
        const val QUIET_LOAD = 0.5
        const val AT_ONCE_MS = 40L
        const val OBJECTIVE_MS = 300L
        const val TOKENS = 9_000
        const val MS_PER_TOKEN = 0.0023
        const val PREFILL_MS = TOKENS * MS_PER_TOKEN

        /** Least gain for the worst tenth of the workspaces. */
        const val GAIN = 0.05
        const val NOISE = 0.03
    }
}
