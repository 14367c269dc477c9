package org.medlarhook.core.serving.second

/**
 * Decides when a request that may run again is sent to a second upstream, and which attempt is given up if neither
 * has answered.
 *
 * Designed for services that answer most requests in time and a few very late, because single upstreams stall. Under
 * high load all answers are late and another attempt would only add work, so that none is sent then.
 *
 * @param share the share of the work that second attempts may add. An answer counts as late only if about as small a
 * share of answers is later, so that the work goes to the slowest ones.
 */
public class SecondAttemptPolicy(
    share: Double,
) {
    private val lateQuantile = (1 - share).coerceAtLeast(LEAST_LATE_QUANTILE)

    /** True if [pressure] leaves no room for extra work at [nowMs]. */
    private fun isOverloaded(pressure: ServicePressure, nowMs: Long): Boolean =
        pressure.usedShare > MAX_USED_SHARE || pressure.shedAtMs?.let { nowMs - it < AFTER_SHEDDING_MS } == true

    /** When the first answer counts as late, or null if requests like it are not known well enough. */
    public fun lateAtMs(request: LateRequest): Long? {
        if (!request.times.isKnown) return null
        val usualMs = maxOf(request.times.quantileMs(lateQuantile), request.predictedMs, MIN_DELAY_MS)
        return request.sentAtMs + Math.ceil(usualMs).toLong()
    }

    /** Decides at [nowMs] on [request]; [alternative] is null if no other upstream serves it. */
    public fun decide(
        request: LateRequest,
        alternative: Alternative?,
        pressure: ServicePressure,
        nowMs: Long,
    ): SecondAttemptDecision {
        if (!request.mayRunAgain || request.isAnswering) return SecondAttemptDecision.Never(NotSentReason.NOT_ALLOWED)
        val lateAtMs = lateAtMs(request) ?: return SecondAttemptDecision.Never(NotSentReason.UNKNOWN_TIMES)
        if (nowMs < lateAtMs) return SecondAttemptDecision.Wait(lateAtMs)
        if (isOverloaded(pressure, nowMs)) return SecondAttemptDecision.Never(NotSentReason.OVERLOAD)
        if (alternative == null || !alternative.hasRoom) return SecondAttemptDecision.Never(NotSentReason.NO_ROOM)
        val secondMs = maxOf(alternative.predictedMs, request.times.quantileMs(MEDIAN))
        if (nowMs + secondMs > request.deadlineAtMs) return SecondAttemptDecision.Never(NotSentReason.NO_TIME)
        val firstMs = request.times.remainingMs((nowMs - request.sentAtMs).toDouble())
        if (firstMs >= secondMs * CLEARLY_EARLIER) return SecondAttemptDecision.Send
        return SecondAttemptDecision.Wait(nowMs + maxOf(firstMs, MIN_DELAY_MS).toLong())
    }

    /** True if the attempt that was sent at [sentAtMs] is expected to answer later than the second one. */
    public fun isFirstLater(sentAtMs: Long, secondSentAtMs: Long, times: RecentTimes, nowMs: Long): Boolean =
        times.remainingMs((nowMs - sentAtMs).toDouble()) >= times.remainingMs((nowMs - secondSentAtMs).toDouble())

    private val Alternative.hasRoom: Boolean get() = !isAvoided && requests < slots * FREE_PLACE_SHARE

    public companion object {
        /**
         * The longest time for which two attempts run. The platform takes a request for one that runs twice if both
         * upstreams work on it for 400 ms; the rest covers the way of the end of a connection to its upstream.
         */
        public const val MAX_OVERLAP_MS: Long = 300

        /** One answer in twenty is later than this without being slow for a cause of its own. */
        private const val LEAST_LATE_QUANTILE = 0.95
        private const val MEDIAN = 0.5

        /** Shorter delays come from scheduling. */
        private const val MIN_DELAY_MS = 20.0

        /** A second answer must be expected in two thirds of the time, because predictions are uncertain. */
        private const val CLEARLY_EARLIER = 1.5

        /** An upstream with more of its slots taken may be full when the attempt arrives. */
        private const val FREE_PLACE_SHARE = 0.5

        /** Above it, single upstreams of the service are full for moments. */
        private const val MAX_USED_SHARE = 0.6

        /** Refused callers come back within seconds. */
        private const val AFTER_SHEDDING_MS = 2_000L
    }
}
