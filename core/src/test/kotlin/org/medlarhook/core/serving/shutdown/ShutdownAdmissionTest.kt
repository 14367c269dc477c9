package org.medlarhook.core.serving.shutdown

import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.demand
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.route
import java.util.PriorityQueue
import kotlin.math.floor
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class ShutdownAdmissionTest {
    private val window = ShutdownWindow(startedAtMs = 0, endsAtMs = 7_300)

    private fun longStream(atMs: Long) =
        demand {
            route = route { timeoutMs = 15_000 }
            arrivedAtMs = atMs
            waitsMs = 15_000
            outputTokens = 200
        }

    private fun plainCall(atMs: Long, routeName: String = "calls") =
        longStream(atMs).copy(
            generation = null,
            route = route {
                name = routeName
                kind = CallKind.NON_IDEMPOTENT
                timeoutMs = 15_000
            },
        )

    private fun decodedIn(msPerToken: Double) =
        ServiceEstimates().let { it.copy(rates = it.rates.decoded(1_000, msPerToken * 1_000)) }

    @Test
    fun `Given a deadline within the shutdown, then a request is admitted without an estimate`() {
        val short = demand { arrivedAtMs = 5_000 }

        assertTrue(ShutdownAdmission.admits(short, ServiceEstimates(), window, 5_000))
    }

    @Test
    fun `Given a deadline after the shutdown and no estimate, then a request is refused`() {
        assertFalse(ShutdownAdmission.admits(longStream(0), ServiceEstimates(), window, 0))
    }

    @Test
    fun `Given a deadline after the shutdown, then a stream is admitted while its longest output fits twice`() {
        // 438 tokens at most, 5 ms each, after an objective of 200 ms: 2,390 ms
        val estimates = decodedIn(msPerToken = 5.0)

        assertTrue(ShutdownAdmission.admits(longStream(2_500), estimates, window, 2_500))
        assertFalse(ShutdownAdmission.admits(longStream(2_600), estimates, window, 2_600))
    }

    @Test
    fun `Given a plain call with a long deadline, then the longest recent answer decides`() {
        val call = plainCall(3_000)
        val estimates =
            listOf(20.0, 2_000.0, 30.0).fold(ServiceEstimates()) { all, ms -> all.answered("calls", ms) }

        assertTrue(ShutdownAdmission.admits(call, estimates, window, 3_000))
        assertFalse(ShutdownAdmission.admits(call.copy(arrivedAtMs = 3_400), estimates, window, 3_400))
    }

    @Test
    fun `Given short answers of one route, then a call of another route of the service is admitted by its deadline`() {
        val estimates = ServiceEstimates().answered("calls", 20.0)
        val other = plainCall(3_000, routeName = "other")

        assertTrue(ShutdownAdmission.admits(plainCall(3_000), estimates, window, 3_000))
        assertFalse(ShutdownAdmission.admits(other, estimates, window, 3_000))
        assertTrue(ShutdownAdmission.admits(other.copy(deadlineAtMs = 7_300), estimates, window, 3_000))
    }

    @Test
    fun `Given short streams of a route, then a stream without token counts is admitted by its deadline only`() {
        val stream = longStream(3_000).copy(generation = null)
        val estimates = ServiceEstimates().answered(stream.route.name, 20.0)

        assertFalse(ShutdownAdmission.admits(stream, estimates, window, 3_000))
        assertTrue(ShutdownAdmission.admits(stream.copy(deadlineAtMs = 7_300), estimates, window, 3_000))
    }

    /** A request of the replay with the output that it gets and the time to its first event. */
    private class Arrival(
        val demand: Demand,
        val tokens: Int,
        val firstEventMs: Double,
    ) {
        val atMs: Long get() = demand.arrivedAtMs
    }

    /** An admitted request of the replay with the time at which its answer is complete. */
    private class Running(
        val arrival: Arrival,
        val endsAtMs: Double,
    ) {
        val tookMs: Double get() = endsAtMs - arrival.atMs
    }

    /**
     * A process that serves 50 requests a second for 20 s before the shutdown and until the listener closes. Half of
     * them are calls of 10 to 40 ms. The other half are streams whose callers allow 400 to 15,000 tokens and state the
     * output that they expect rightly: a tenth of that to all of it. Their first event comes after 20 to 400 ms. The
     * time of a token is drawn anew each second, between 0.4 and 1.6 ms. Each complete answer teaches the estimates.
     */
    private inner class Replay(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val msPerToken = List(REPLAY_S) { random.nextDouble(0.4, 1.6) }
        private val arrivals = (-WARM_UP_MS until LISTENER_CLOSES_MS step 20).map { arrival(it) }
        private var estimates = ServiceEstimates()

        private fun arrival(atMs: Long): Arrival {
            if (random.nextBoolean()) return Arrival(plainCall(atMs), 0, random.nextDouble(10.0, 40.0))
            val maxTokens = random.nextInt(400, 15_000)
            val tokens = (maxTokens * random.nextDouble(0.1, 1.0)).toInt()
            val stream = longStream(atMs)
            val generation = stream.generation!!.copy(maxOutputTokens = maxTokens, outputTokens = tokens)
            return Arrival(stream.copy(generation = generation), tokens, random.nextDouble(20.0, 400.0))
        }

        private fun run(arrival: Arrival): Running {
            var nowMs = arrival.atMs + arrival.firstEventMs
            var left = arrival.tokens.toDouble()
            while (left > 0) {
                val second = floor(nowMs / 1_000).toInt()
                val speed = msPerToken[second + (WARM_UP_MS / 1_000).toInt()]
                val decoded = minOf(left, ((second + 1) * 1_000 - nowMs) / speed + MIN_PROGRESS_TOKENS)
                left -= decoded
                nowMs += decoded * speed
            }
            return Running(arrival, nowMs)
        }

        private fun learn(answer: Running) {
            val generation = answer.arrival.demand.generation
            estimates =
                if (generation == null) {
                    estimates.answered(answer.arrival.demand.route.name, answer.tookMs)
                } else {
                    val decodeMs = answer.tookMs - answer.arrival.firstEventMs
                    estimates.copy(rates = estimates.rates.decoded(generation.outputTokens, decodeMs))
                }
        }

        /** All requests that arrive during the shutdown, as if they were admitted. */
        val all: List<Running> = arrivals.filter { it.atMs >= 0 }.map { run(it) }

        /** The requests that are admitted during the shutdown. */
        val admitted: List<Running> = ArrayList<Running>().apply {
            val running = PriorityQueue<Running>(compareBy { it.endsAtMs })
            arrivals.forEach { arrival ->
                while (running.isNotEmpty() && running.peek().endsAtMs <= arrival.atMs) learn(running.poll())
                val isStopping = arrival.atMs >= 0
                if (!isStopping || ShutdownAdmission.admits(arrival.demand, estimates, window, arrival.atMs)) {
                    running += run(arrival).also { if (isStopping) add(it) }
                }
            }
        }

        fun cutOff(served: List<Running>): Int = served.count { it.endsAtMs > window.endsAtMs }

        fun short(served: List<Running>): Int = served.count { it.tookMs < 500 }
    }

    @Test
    fun `Given a rolling restart in which callers still arrive, then none is cut off, most short answers are served`() {
        val replays = (1..20).associateWith { Replay(it) }
        replays.forEach { (seed, replay) ->
            println(
                "seed $seed: ${replay.all.size} arrivals, ${replay.cutOff(replay.all)} cut off if all are admitted; " +
                    "${replay.admitted.size} admitted, ${replay.cutOff(replay.admitted)} of them cut off; " +
                    "short answers ${replay.short(replay.admitted)} of ${replay.short(replay.all)}",
            )
        }

        assertTrue(replays.values.all { it.cutOff(it.all) > 0 })
        assertEquals(emptyMap(), replays.mapValues { (_, it) -> it.cutOff(it.admitted) }.filterValues { it > 0 })
        assertTrue(replays.values.all { it.short(it.admitted) * 10 >= it.short(it.all) * 9 })
    }

    private companion object {
        const val WARM_UP_MS = 20_000L
        const val LISTENER_CLOSES_MS = 3_500L

        /** Enough for the longest stream that begins last. */
        const val REPLAY_S = 60

        /** Keeps a step at the end of a second from being empty by rounding. */
        const val MIN_PROGRESS_TOKENS = 1e-6
    }
}
