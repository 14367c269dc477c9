package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.ReplayProcess
import org.medlarhook.core.serving.demand
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.place.AffinityPlacer
import org.medlarhook.core.serving.place.Distances
import org.medlarhook.core.serving.place.FirstEventPredictor
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.upstream
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Guards against calling upstreams while they are slow for some hundred milliseconds, and avoiding them for longer.
 *
 * Replays calls of several processes to upstreams with bounded queues that differ for good and are slow in some pieces
 * of time.
 */
class WorkTimeReplayTest {
    private class Event(val atMs: Double, val run: () -> Unit)

    /** What a process makes of the reading in an answer, and how it reads that at a placement. */
    private open class Use(
        val kept: (WorkTimeReading?, WorkTimeReading) -> WorkTimeReading? = { _, new -> new },
        val read: (WorkTimeReading?, Long) -> WorkTimeReading? = { known, _ -> known },
    )

    private val decaying = Use()
    private val baselines =
        mapOf(
            "ignored" to Use(kept = { _, _ -> null }),
            "believed for ever" to Use(read = { known, nowMs -> known?.copy(atMs = nowMs) }),
            "moving average" to
                Use({ old, new -> new.copy(factor = (old ?: new).factor * 0.9 + new.factor * 0.1) }) { known, nowMs ->
                    known?.copy(atMs = nowMs)
                },
        )
    private val upstreams = (1..6).map { upstream("u$it") { slots = SLOTS } }
    private val placer = AffinityPlacer(FirstEventPredictor(Distances("a", persistentMapOf("a" to "r"))))

    private fun factorOf(upstream: Upstream, seed: Int, atMs: Double): Double {
        val piece = Random(upstream.id.hashCode() * 31L + (atMs / 600).toLong() * 7_919 + seed)
        return listOf(1.0, 0.55, 1.2)[upstreams.indexOf(upstream) % 3] * if (piece.nextDouble() < 0.15) 2.5 else 1.0
    }

    /** Returns the mean time of the answers in milliseconds, and the share of all calls that is in time. */
    private fun play(seed: Int, processes: Int, overload: Double, use: Use): Pair<Double, Double> {
        val random = Random(seed)
        val all = List(processes) { ReplayProcess() }
        val freeAtMs = upstreams.associateWith { PriorityQueue(List(SLOTS) { 0.0 }) }
        val present = HashMap<Upstream, Int>()
        val events = PriorityQueue<Event>(compareBy { it.atMs })
        val timesMs = ArrayList<Double>()
        var nextMs = 0.0
        repeat(CALLS) { number ->
            nextMs -= ln(1 - random.nextDouble()) * WORK_MS * MEAN_FACTOR / (upstreams.size * SLOTS) / overload
            val atMs = nextMs
            val process = all[random.nextInt(processes)]
            events += Event(atMs) {
                val nowMs = atMs.toLong()
                val read = process.loads.mapValues { it.value.copy(workTime = use.read(it.value.workTime, nowMs)) }
                val demand = demand { arrivedAtMs = nowMs }.copy(generation = null, deadlineAtMs = nowMs + TIMEOUT_MS)
                val tried = HashSet<String>()
                val upstream =
                    generateSequence {
                        val placement = placer.place(demand, upstreams, read, tried, process.estimates, nowMs)
                        (placement as? Placement.Chosen)?.upstream?.takeIf { tried.size < MAX_ATTEMPTS }
                    }.onEach { tried += it.id }.firstOrNull { (present[it] ?: 0) < SLOTS + QUEUE } ?: return@Event
                val key = upstream.incarnation
                val load = process.loads[key] ?: UpstreamLoad(SLOTS)
                process.loads[key] = load.sent("$number", OwnAttempt(nowMs, 0.0, WORK_MS))
                present.merge(upstream, 1, Int::plus)
                val startMs = maxOf(atMs, freeAtMs.getValue(upstream).poll())
                val endMs = startMs - WORK_MS * ln(1 - random.nextDouble()) * factorOf(upstream, seed, startMs)
                freeAtMs.getValue(upstream) += endMs
                events += Event(endMs) {
                    timesMs += endMs - atMs
                    val known = process.loads.getValue(key)
                    val model = process.estimates.workTimes
                    val factor = factorOf(upstream, seed, endMs)
                    val kept = use.kept(known.workTime, model.reading(known.workTime, factor, endMs.toLong()))
                    kept?.let {
                        process.estimates = process.estimates.copy(workTimes = model.observed(known.workTime, it))
                    }
                    val left = known.copy(ownAttempts = known.ownAttempts.remove("$number"), workTime = kept)
                    process.loads[key] =
                        left.withReportedLoad(present.merge(upstream, -1, Int::plus)!!, 0, endMs.toLong())
                }
            }
        }
        while (events.isNotEmpty()) events.poll().run()
        return timesMs.average() to timesMs.count { it <= OBJECTIVE_MS }.toDouble() / CALLS
    }

    @Test
    fun `Given upstreams that are slow at times, then decaying readings answer calls sooner than other uses of them`() {
        for (processes in listOf(4, 28)) {
            for (overload in listOf(0.6, 0.9, 1.3)) {
                fun results(use: Use) = (1..SEEDS).map { play(it, processes, overload, use) }
                val own = results(decaying)
                baselines.forEach { (name, use) ->
                    val other = results(use)
                    val what = "$processes processes at $overload of capacity: $own, $name: $other"
                    assertTrue(overload > 1 || own.sumOf { it.first } < other.sumOf { it.first }, what)
                    assertTrue(own.sumOf { it.second } / SEEDS > other.sumOf { it.second } / SEEDS - MAX_LOSS, what)
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 4
        const val CALLS = 8_000
        const val SLOTS = 6
        const val QUEUE = 24
        const val MAX_ATTEMPTS = 4
        const val WORK_MS = 43.0
        const val MEAN_FACTOR = 0.917 * 1.225
        const val OBJECTIVE_MS = 300
        const val TIMEOUT_MS = 1_500

        /** Smaller differences of the share in time are those of the seeds. */
        const val MAX_LOSS = 0.01
    }
}
