package org.medlarhook.core.serving.shutdown

import org.medlarhook.core.serving.config.CallKind
import org.medlarhook.core.serving.demand
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.route
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

    /** A request of the replay with the time that its answer takes. */
    private class Arrival(
        val demand: Demand,
        val durationMs: Double,
    )

    /**
     * Streams of 17 to 12,000 ms and calls of 10 to 40 ms, all with long deadlines, that still arrive at a stopping
     * process.
     */
    private fun arrivals(random: Random): List<Arrival> =
        (0L until 3_500L step 20).map { atMs ->
            val stream = longStream(atMs)
            if (random.nextDouble() < 0.5) {
                val maxTokens = if (random.nextBoolean()) 438 else 15_000
                val generation = stream.generation!!.copy(maxOutputTokens = maxTokens)
                val tokens = maxTokens * (0.1 + 0.9 * random.nextDouble())
                Arrival(stream.copy(generation = generation), tokens * random.nextDouble(0.4, 0.8))
            } else {
                Arrival(plainCall(atMs), random.nextDouble(10.0, 40.0))
            }
        }

    private fun learned(random: Random): ServiceEstimates =
        (0 until 48).fold(ServiceEstimates()) { estimates, _ ->
            val slowed = estimates.answered("calls", random.nextDouble(10.0, 40.0))
            slowed.copy(rates = slowed.rates.decoded(1_000, random.nextDouble(0.4, 0.8) * 1_000))
        }

    @Test
    fun `Given a rolling restart in which callers still arrive, then none is cut off, most short answers are served`() {
        val random = Random(27)
        val estimates = learned(random)
        val arrivals = arrivals(random)

        fun cutOff(admitted: List<Arrival>) =
            admitted.count { it.demand.arrivedAtMs + it.durationMs > window.endsAtMs }
        val byEstimate =
            arrivals.filter { ShutdownAdmission.admits(it.demand, estimates, window, it.demand.arrivedAtMs) }
        val byDeadline = arrivals.filter { it.demand.deadlineAtMs <= window.endsAtMs }
        println("cut off of ${arrivals.size}: ${cutOff(arrivals)} if all are admitted, ${cutOff(byEstimate)} now")
        println("admitted: ${byDeadline.size} by deadline alone, ${byEstimate.size} now")

        assertTrue(cutOff(arrivals) > 0)
        assertEquals(0, cutOff(byEstimate))
        val short = arrivals.filter { it.durationMs < 500 }
        assertTrue(byEstimate.count { it in short } * 10 >= short.size * 9)
    }
}
