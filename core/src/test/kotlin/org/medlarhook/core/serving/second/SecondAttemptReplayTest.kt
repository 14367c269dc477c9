package org.medlarhook.core.serving.second

import org.medlarhook.core.serving.retry.WindowedRetryBudget
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Replays requests at upstreams of which single ones stall: three answers in a hundred take twelve times as long, and
 * each upstream is two and a half times slower for 15 % of the time, in pieces of 600 ms.
 */
class SecondAttemptReplayTest {
    /** When a second attempt is sent. */
    private enum class Mode { OFF, FIXED_DELAY, NO_LIMIT, WITHIN_SHARE }

    private class Result(
        val timesMs: List<Double>,
        val sent: Int,
        val extraShare: Double,
    ) {
        fun quantileMs(share: Double) = timesMs[((timesMs.size - 1) * share).toInt()]

        override fun toString() =
            "p50 %.0f, p99 %.0f, p99.9 %.0f ms, second attempts %d, extra work %.4f".format(
                quantileMs(0.5),
                quantileMs(0.99),
                quantileMs(0.999),
                sent,
                extraShare,
            )
    }

    private class Run(val upstream: Int, val request: Int, var endsAtMs: Double, val sentAtMs: Double)

    private inner class Replay(private val mode: Mode, private val perMs: Double, seed: Int) {
        private val random = Random(seed)
        private val policy = SecondAttemptPolicy(SHARE)
        private val slow = List(UPSTREAMS) { List((DURATION_MS / PIECE_MS).toInt() * 4) { random.nextDouble() < 0.15 } }
        private val running = List(UPSTREAMS) { ArrayList<Run>() }
        private val queues = List(UPSTREAMS) { ArrayDeque<Run>() }
        private val events = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
        private val runs = HashMap<Int, MutableList<Run>>()
        private val answered = HashMap<Int, Double>()
        private var times = RecentTimes()
        private var work = ExtraWork()
        private var sent = 0

        private fun at(atMs: Double, event: () -> Unit) = events.add(atMs to event)

        private fun taken(upstream: Int) = running[upstream].size + queues[upstream].size

        private fun start(run: Run, nowMs: Double) {
            running[run.upstream] += run
            val isSlow = slow[run.upstream].getOrElse((nowMs / PIECE_MS).toInt()) { false }
            val stalls = random.nextDouble() < 0.03
            val tookMs = MEAN_MS * (0.6 + 0.4 * -ln(1 - random.nextDouble())) * (if (isSlow) 2.5 else 1.0) *
                (if (stalls) 12.0 else 1.0)
            run.endsAtMs = nowMs + tookMs
            at(run.endsAtMs) { if (run in running[run.upstream]) end(run, nowMs + tookMs) }
        }

        private fun end(run: Run, nowMs: Double) {
            val wins = answered.putIfAbsent(run.request, nowMs) == null
            if (wins) times = times.with(nowMs - run.sentAtMs)
            (if (wins) runs.getValue(run.request) else listOf(run)).toList().forEach { giveUp(it, nowMs) }
        }

        private fun giveUp(run: Run, nowMs: Double) {
            queues[run.upstream].remove(run)
            if (running[run.upstream].remove(run)) queues[run.upstream].removeFirstOrNull()?.let { start(it, nowMs) }
        }

        private fun send(request: Int, excluded: Int?, nowMs: Double): Run {
            val upstream = (0 until UPSTREAMS).filter { it != excluded }.shuffled(random).minBy { taken(it) }
            val run = Run(upstream, request, 0.0, nowMs)
            runs.getOrPut(request) { ArrayList() } += run
            if (running[upstream].size < SLOTS) start(run, nowMs) else queues[upstream] += run
            return run
        }

        private fun decide(first: Run, nowMs: Double) {
            if (first.request in answered) return
            val predictedMs = MEAN_MS * (1 + taken(first.upstream) / SLOTS)
            val late = LateRequest(true, false, first.sentAtMs.toLong(), predictedMs, Long.MAX_VALUE, times)
            val second = (0 until UPSTREAMS).filter { it != first.upstream }.minBy { taken(it) }
            val room = Alternative(MEAN_MS, taken(second).toDouble(), SLOTS, isAvoided = false)
            val used = (0 until UPSTREAMS).sumOf { taken(it) }.toDouble() / (UPSTREAMS * SLOTS)
            val decision =
                if (mode == Mode.FIXED_DELAY) {
                    SecondAttemptDecision.Send
                } else {
                    policy.decide(late, room, ServicePressure(used, null), nowMs.toLong())
                }
            if (decision is SecondAttemptDecision.Wait) {
                at(decision.untilMs + 1.0) {
                    decide(
                        first,
                        decision.untilMs + 1.0,
                    )
                }
            }
            if (decision !is SecondAttemptDecision.Send) return
            val limit = if (mode == Mode.WITHIN_SHARE) SHARE else Double.MAX_VALUE
            work = work.withdraw(MEAN_MS, limit, nowMs.toLong())
                ?: return Unit.also { at(nowMs + RECHECK_MS) { decide(first, nowMs + RECHECK_MS) } }
            sent++
            val next = send(first.request, first.upstream, nowMs)
            val endsAtMs = nowMs + SecondAttemptPolicy.MAX_OVERLAP_MS
            at(endsAtMs) { if (first.request !in answered) endOverlap(first, next, endsAtMs) }
        }

        private fun endOverlap(first: Run, next: Run, nowMs: Double) {
            val isFirst =
                policy.isFirstLater(first.sentAtMs.toLong(), next.sentAtMs.toLong(), times, nowMs.toLong())
            giveUp(if (isFirst) first else next, nowMs)
        }

        fun result(): Result {
            var request = 0
            var arrivesAtMs = 0.0
            while (arrivesAtMs < DURATION_MS) {
                arrivesAtMs -= ln(1 - random.nextDouble()) / perMs
                val (number, nowMs) = request++ to arrivesAtMs
                at(nowMs) {
                    work = work.done(MEAN_MS, nowMs.toLong())
                    val first = send(number, null, nowMs)
                    val delayMs = if (mode == Mode.FIXED_DELAY) MEAN_MS * 2 else 1.0
                    if (mode != Mode.OFF) at(nowMs + delayMs) { decide(first, nowMs + delayMs) }
                }
                if (mode != Mode.OFF &&
                    mode != Mode.FIXED_DELAY &&
                    request == 1
                ) {
                    repeat(20) { times = times.with(MEAN_MS) }
                }
            }
            val sentAt = HashMap<Int, Double>()
            while (events.isNotEmpty()) events.poll().second()
            runs.forEach { (number, all) -> sentAt[number] = all.first().sentAtMs }
            val timesMs = answered.map { (number, endedAtMs) -> endedAtMs - sentAt.getValue(number) }.sorted()
            assertEquals(request, timesMs.size, "a request has no answer")
            return Result(timesMs, sent, sent.toDouble() / request)
        }
    }

    private fun replay(mode: Mode, usedShare: Double, seed: Int): Result =
        Replay(mode, usedShare * UPSTREAMS * SLOTS / (MEAN_MS * MEAN_FACTOR), seed).result()
            .also { println("$mode, load $usedShare, seed $seed: $it") }

    @Test
    fun `Given upstreams that stall, then second attempts cut the slowest answers within the share of work`() {
        for (seed in 1..3) {
            val (off, fixed, unlimited) =
                listOf(Mode.OFF, Mode.FIXED_DELAY, Mode.NO_LIMIT).map { replay(it, usedShare = 0.3, seed) }
            val within = replay(Mode.WITHIN_SHARE, usedShare = 0.3, seed)

            assertTrue(within.quantileMs(0.99) < off.quantileMs(0.99), "p99: $within; off $off")
            assertTrue(within.quantileMs(0.999) < off.quantileMs(0.999), "p99.9: $within; off $off")
            assertTrue(within.extraShare <= SHARE, "$within")
            assertTrue(within.sent <= unlimited.sent && unlimited.sent < fixed.sent, "$within; $unlimited; $fixed")
        }
    }

    @Test
    fun `Given more work than the upstreams do, then no second attempt is sent`() {
        val overloaded = replay(Mode.WITHIN_SHARE, usedShare = 1.4, seed = 1)
        val fixed = replay(Mode.FIXED_DELAY, usedShare = 1.4, seed = 1)

        assertEquals(0, overloaded.sent, "$overloaded")
        assertTrue(fixed.extraShare > 0.9, "fixed delay $fixed")
    }

    @Test
    fun `Given a late request, then it waits, is sent again or stays as it is, by what is known of it`() {
        val times = (1..20).fold(RecentTimes()) { times, ms -> times.with(280.0 + ms) }
        val late =
            LateRequest(true, isAnswering = false, sentAtMs = 0, predictedMs = 100.0, deadlineAtMs = 1_000, times)
        val free = Alternative(predictedMs = 290.0, requests = 0.0, slots = 2, isAvoided = false)
        val calm = ServicePressure(usedShare = 0.2, shedAtMs = null)
        val decide = { request: LateRequest, to: Alternative?, pressure: ServicePressure, nowMs: Long ->
            SecondAttemptPolicy(share = 1.0).decide(request, to, pressure, nowMs)
        }
        val never = { reason: NotSentReason -> SecondAttemptDecision.Never(reason) }

        assertEquals(SecondAttemptDecision.Wait(299), decide(late, free, calm, 298))
        assertEquals(SecondAttemptDecision.Send, decide(late, free, calm, 450))
        assertTrue(decide(late, free, calm, 310) is SecondAttemptDecision.Wait, "as long again is not clearly later")
        assertEquals(never(NotSentReason.NOT_ALLOWED), decide(late.copy(mayRunAgain = false), free, calm, 450))
        assertEquals(never(NotSentReason.NOT_ALLOWED), decide(late.copy(isAnswering = true), free, calm, 450))
        assertEquals(never(NotSentReason.NO_TIME), decide(late.copy(deadlineAtMs = 700), free, calm, 450))
        assertEquals(never(NotSentReason.NO_ROOM), decide(late, null, calm, 450))
        assertEquals(never(NotSentReason.NO_ROOM), decide(late, free.copy(requests = 1.0), calm, 450))
        assertEquals(never(NotSentReason.NO_ROOM), decide(late, free.copy(isAvoided = true), calm, 450))
        assertEquals(never(NotSentReason.OVERLOAD), decide(late, free, calm.copy(usedShare = 0.7), 450))
        assertEquals(never(NotSentReason.OVERLOAD), decide(late, free, calm.copy(shedAtMs = 0), 450))
        assertEquals(never(NotSentReason.UNKNOWN_TIMES), decide(late.copy(times = RecentTimes()), free, calm, 450))
        val budget = (1..10).fold(WindowedRetryBudget(0.2, 2.0, 10_000)) { budget, _ -> budget.requested(0) }
        val halfUsed = checkNotNull(budget.withdraw(0)?.withdraw(0))
        assertTrue(budget.hasLeft(0, 0.5) && halfUsed.hasLeft(0) && !halfUsed.hasLeft(0, 0.5), "the reserve")
        val large = late.copy(predictedMs = 500.0)
        assertEquals(SecondAttemptDecision.Wait(500), decide(large, free, calm, 450), "slow by its size")
    }

    private companion object {
        const val UPSTREAMS = 8
        const val SLOTS = 4
        const val MEAN_MS = 40.0

        /** The mean time of an answer with its stalls and slow pieces, in [MEAN_MS]. */
        const val MEAN_FACTOR = 1.63
        const val PIECE_MS = 600.0
        const val RECHECK_MS = 100.0
        const val DURATION_MS = 60_000.0
        const val SHARE = 0.02
    }
}
