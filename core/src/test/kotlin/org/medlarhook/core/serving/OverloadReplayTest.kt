package org.medlarhook.core.serving

import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.PredictionError
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventAdmission
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Placer
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Replays demand over what the engines can do: several processes share engines that read prompts in turn. */
class OverloadReplayTest {
    private val predictor = FirstEventPredictor(Distances("a", persistentMapOf("a" to "r")))
    private val engines = listOf("e1", "e2", "e3").map { upstream(it) { stage = null } }

    /** Takes on everything that could end before its time limit, as a queue without a rule would. */
    private val untilTheLimit = FirstEventAdmission(newcomerShare = 9.0, returningShare = 9.0)

    private class Event(
        val atMs: Double,
        val run: () -> Unit,
    )

    /** Returns the share of requests whose first event came within the objective. */
    private fun inTime(rule: FirstEventAdmission, seed: Int, overload: Double): Double {
        val random = Random(seed)
        val placers: List<Placer> = List(PROCESSES) { AffinityPlacer(predictor, rule) }
        val loads = List(PROCESSES) { HashMap<Incarnation, UpstreamLoad>() }
        val errors = MutableList(PROCESSES) { PredictionError() }
        val freeAtMs = HashMap<Incarnation, Double>()
        val waiting = HashMap<Incarnation, Int>()
        val events = PriorityQueue<Event>(compareBy { it.atMs })
        var good = 0
        val meanGapMs = SERVICE_MS / engines.size / overload
        var atMs = 0.0
        repeat(REQUESTS) { number ->
            atMs += -meanGapMs * ln(1 - random.nextDouble())
            val arrivedAtMs = atMs
            val process = random.nextInt(PROCESSES)
            events += Event(arrivedAtMs) {
                val nowMs = arrivedAtMs.toLong()
                val demand = demand {
                    this.arrivedAtMs = nowMs
                    sessionId = "s$number"
                }
                val known = loads[process]
                val placed = placers[process].place(demand, engines, known, emptySet(), errors[process], nowMs)
                if (placed is Placement.Chosen) {
                    val engine = placed.upstream.incarnation
                    val endMs = maxOf(arrivedAtMs, freeAtMs[engine] ?: 0.0) + placed.prefillMs
                    freeAtMs[engine] = endMs
                    waiting.merge(engine, 1, Int::plus)
                    val load = loads[process][engine] ?: UpstreamLoad(placed.upstream.slots)
                    loads[process][engine] = load.sent("$number", OwnAttempt(nowMs, placed.prefillMs, placed.decodeMs))
                    events += Event(endMs) {
                        val left = waiting.merge(engine, -1, Int::plus)!!
                        val held = loads[process].getValue(engine)
                        errors[process] = errors[process].observed(placed.firstEventMs, endMs - arrivedAtMs)
                        loads[process][engine] =
                            held.copy(ownAttempts = held.ownAttempts.remove("$number"))
                                .withReportedLoad(left, 0, endMs.toLong())
                        if (endMs - arrivedAtMs <= demand.route.objectiveMs) good++
                    }
                }
            }
        }
        while (events.isNotEmpty()) events.poll().run()
        return good.toDouble() / REQUESTS
    }

    @Test
    fun `Given twice what the engines can do, then turning away at once keeps twice as many in time`() {
        (1..SEEDS).forEach { seed ->
            val ruled = inTime(FirstEventAdmission(), seed, overload = 2.0)
            val unruled = inTime(untilTheLimit, seed, overload = 2.0)

            assertTrue(ruled >= 2 * unruled, "seed $seed: $ruled against $unruled")
        }
    }

    @Test
    fun `Given half of what the engines can do, then nearly all are in time`() {
        (1..SEEDS).forEach { seed ->
            val ruled = inTime(FirstEventAdmission(), seed, overload = 0.5)

            assertTrue(ruled >= 0.95, "seed $seed: $ruled")
        }
    }

    private companion object {
        const val PROCESSES = 4
        const val REQUESTS = 3_000
        const val SEEDS = 5

        /** The model's time for the prompts of the builder. */
        const val SERVICE_MS = 20.8
    }
}
