package org.medlarhook.core.serving

import org.medlarhook.core.serving.retry.ArrivalCost
import org.medlarhook.core.serving.retry.RequestArrivals
import org.medlarhook.core.serving.retry.WindowedRetryBudget
import kotlin.math.ln
import kotlin.random.Random

/** How a process pays for what it sends again. */
internal enum class RetryAccounting {
    /** Each arrival beyond the first is withdrawn from the budget; a request is prefilled separately at most once. */
    EACH_ARRIVAL,

    /** The same, with a new prefill for each attempt. */
    EACH_ARRIVAL_PREFILLED_AGAIN,

    /** One retry for each attempt that follows one that may have reached its engine, with a new prefill for each. */
    EACH_FAILURE,
}

/** How a failed engine ends what is sent to it. */
internal enum class EngineFailure {
    /** It answers that it has not run the request. */
    REJECTS,
    CLOSED_PORT,
}

/**
 * What a replay with failed engines has shown.
 *
 * @property served share of all requests that an engine has run.
 * @property excess arrivals beyond the first of their requests in the worst window, over those that are allowed; below
 * or at 0 if the rule held.
 * @property arrivals arrivals at engines for each request.
 */
internal data class RetryResult(
    val served: Double,
    val excess: Double,
    val arrivals: Double,
)

/**
 * Plays requests of several processes for a service whose decoding engines fail in turn for some seconds each, more of
 * them at a time than stay. Engines for prefills are sound.
 */
internal class RetryReplay(
    private val accounting: RetryAccounting,
    private val failure: EngineFailure,
    seed: Int,
) {
    private inner class Process {
        var budget = WindowedRetryBudget(RATIO, SLACK / PROCESSES, WINDOW_MS)

        fun withdraw(nowMs: Long): Boolean {
            budget = budget.withdraw(nowMs) ?: return false
            return true
        }
    }

    private val random = Random(seed)
    private val processes = List(PROCESSES) { Process() }
    private val failing = List(ENGINES) { failuresOf() }
    private val requestedAtMs = ArrayList<Long>()
    private val repeatedAtMs = ArrayList<Long>()
    private var served = 0
    private var arrivals = 0

    private fun failuresOf(): List<LongRange> =
        generateSequence(random.nextLong(UP_MS).let { it..it + DOWN_MS }) { last ->
            val fromMs = last.last + random.nextLong(UP_MS)
            fromMs..fromMs + DOWN_MS
        }.takeWhile { it.first < DURATION_MS }.toList()

    fun play(): RetryResult {
        var atMs = 0.0
        while (atMs < DURATION_MS) {
            request(processes[random.nextInt(PROCESSES)], atMs.toLong())
            atMs += -MEAN_GAP_MS * ln(1 - random.nextDouble())
        }
        repeatedAtMs.sort()
        val excess = repeatedAtMs.distinct().maxOfOrNull { excessFrom(it) } ?: 0.0
        return RetryResult(served.toDouble() / requestedAtMs.size, excess, arrivals.toDouble() / requestedAtMs.size)
    }

    /** Counts requests in the window from [fromMs], the one before it or the one half a window before it. */
    private fun excessFrom(fromMs: Long): Double {
        val requests = listOf(0L, WINDOW_MS / 2, WINDOW_MS).maxOf { requestedAtMs.countFrom(fromMs - it) }
        return repeatedAtMs.countFrom(fromMs) - (requests * RATIO + SLACK)
    }

    /** The number of these times, which are sorted, in the window from [fromMs]. */
    private fun List<Long>.countFrom(fromMs: Long): Int =
        indexOfFirstFrom(fromMs + WINDOW_MS) - indexOfFirstFrom(fromMs)

    private fun List<Long>.indexOfFirstFrom(atMs: Long): Int = binarySearch { if (it < atMs) -1 else 1 }.inv()

    private fun request(process: Process, arrivedAtMs: Long) {
        requestedAtMs += arrivedAtMs
        process.budget = process.budget.requested(arrivedAtMs)
        val attempts = Attempts(process)
        var atMs = arrivedAtMs
        for (engine in (0..<ENGINES).shuffled(random).take(MAX_ATTEMPTS)) {
            if (!attempts.prefill(atMs) || !attempts.run(atMs, engine)) return
            atMs += ROUND_TRIP_MS
        }
    }

    /** The attempts of one request; both functions return false once it has ended. */
    private inner class Attempts(
        private val process: Process,
    ) {
        private var counted = RequestArrivals()
        private var prefills = 0
        private var followsFailure = false
        private var ofThisRequest = 0

        fun prefill(atMs: Long): Boolean {
            if (followsFailure && accounting == RetryAccounting.EACH_FAILURE && !process.withdraw(atMs)) return false
            if (prefills > 0 && accounting == RetryAccounting.EACH_ARRIVAL) return true
            if (!pay(isPrefill = true, atMs)) return false
            if (prefills++ > 0) arrived(atMs)
            arrivals++
            return true
        }

        fun run(atMs: Long, engine: Int): Boolean {
            val isDown = failing[engine].any { atMs in it }
            val isSent = !isDown || failure != EngineFailure.CLOSED_PORT
            if (isSent && !pay(isPrefill = false, atMs)) return false
            followsFailure = isSent
            if (!isSent) return true
            arrivals++
            arrived(atMs)
            if (!isDown) served++
            return isDown
        }

        private fun arrived(atMs: Long) {
            if (ofThisRequest++ > 0) repeatedAtMs += atMs
        }

        private fun pay(isPrefill: Boolean, atMs: Long): Boolean {
            if (accounting == RetryAccounting.EACH_FAILURE) return true
            val cost = counted.costOf(isPrefill)
            if (cost == ArrivalCost.RETRY && !process.withdraw(atMs)) return false
            val isReturned = isPrefill && counted.returnsPrefill
            if (isReturned && cost == ArrivalCost.RETRY) process.budget = process.budget.returned(atMs)
            counted = counted.sent(cost).let { if (isPrefill) it.prefillAccepted(cost) else it }
            return true
        }
    }

    private companion object {
        const val PROCESSES = 6
        const val ENGINES = 8
        const val DURATION_MS = 60_000L
        const val DOWN_MS = 4_000L

        /** Twice the mean time for which an engine is sound. */
        const val UP_MS = 5_000L
        const val MEAN_GAP_MS = 7.0
        const val ROUND_TRIP_MS = 20L
        const val MAX_ATTEMPTS = 4
        const val RATIO = 0.2
        const val SLACK = 58.0
        const val WINDOW_MS = 10_000L
    }
}
