package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The load of one upstream, as far as this process can tell from its own attempts and the upstream's load reports.
 *
 * @property ownAttempts this process's attempts there that have not ended, by attempt key.
 * @property otherRequests requests of other processes that run or wait there, a moving average over load reports.
 * @property reportedAtMs the time of the last load report.
 * @property meanPrefillMs the engine's prefill time for a prompt of this process, a moving average.
 * @property cache an estimate of its prefix cache.
 * @property speed its observed time divided by the predicted time, for prefill and for calls of plain services.
 * @property decodeSpeed the same for decode from a copied cache.
 * @property failures recent failures, by which it is avoided.
 * @property workTime the last reading of how long work takes there, or null if it reports none.
 */
public data class UpstreamLoad(
    val slots: Int,
    val ownAttempts: PersistentMap<String, OwnAttempt> = persistentMapOf(),
    val otherRequests: Double = 0.0,
    val reportedAtMs: Long? = null,
    val meanPrefillMs: Double = 0.0,
    val cache: PrefixCacheEstimate = PrefixCacheEstimate(),
    val speed: SpeedRatio = SpeedRatio(),
    val decodeSpeed: SpeedRatio = SpeedRatio(),
    val failures: FailureRecord = FailureRecord(),
    val workTime: WorkTimeReading? = null,
) {
    /** Requests of other processes that run or wait there, discounted by the age of the last load report. */
    public fun otherRequestsAt(nowMs: Long): Double {
        val ageMs = nowMs - (reportedAtMs ?: return 0.0)
        return otherRequests * Math.exp(-(ageMs - FRESH_REPORT_MS).coerceAtLeast(0) / DECAY_TIME_CONSTANT_MS)
    }

    /** Adds an attempt of this process that begins. */
    public fun sent(key: String, attempt: OwnAttempt): UpstreamLoad =
        copy(
            ownAttempts = ownAttempts.put(key, attempt),
            meanPrefillMs =
                meanPrefillMs + (attempt.prefillMs - meanPrefillMs) * SMOOTHING_WEIGHT / PREFILL_SMOOTHING_DIVISOR,
        )

    /**
     * The engine's estimated prefill time for all requests whose prefill is pending. For the requests of other
     * processes, the share with pending prefill (all, without own attempts) and the mean prefill time are taken to be
     * those of this process's own attempts.
     */
    public fun prefillBacklogMs(nowMs: Long): Double {
        val pendingShare =
            if (ownAttempts.isEmpty()) 1.0 else ownAttempts.values.count { it.isPending }.toDouble() / ownAttempts.size
        return ownPrefillBacklogMs(nowMs) + otherRequestsAt(nowMs) * pendingShare * meanPrefillMs
    }

    /** True while an attempt of this process has an output there that takes [longOutputMs] or longer. */
    public fun decodesOutputOf(longOutputMs: Double): Boolean = ownAttempts.values.any { it.decodeMs >= longOutputMs }

    /** Requests of all processes that run or wait there. */
    public fun requestsAt(nowMs: Long): Double = ownAttempts.size + otherRequestsAt(nowMs)

    /** The engine's remaining prefill time for the attempts of this process. */
    public fun ownPrefillBacklogMs(nowMs: Long): Double {
        val pending = ownAttempts.values.filter { it.isPending }
        val oldestSentAtMs = pending.minOfOrNull { it.sentAtMs } ?: return 0.0
        val totalMs = pending.sumOf { it.prefillMs }
        val oldest = pending.first { it.sentAtMs == oldestSentAtMs }
        return totalMs - (nowMs - oldestSentAtMs).toDouble().coerceIn(0.0, oldest.prefillMs)
    }

    /** Records a load report of [nowMs]; this process's own attempts, which it includes, are subtracted. */
    public fun withReportedLoad(running: Int, waiting: Int, nowMs: Long): UpstreamLoad {
        val sample = (running + waiting - ownAttempts.size).coerceAtLeast(0).toDouble()
        val weight = if (reportedAtMs == null) 1.0 else SMOOTHING_WEIGHT
        return copy(otherRequests = otherRequests + (sample - otherRequests) * weight, reportedAtMs = nowMs)
    }

    private companion object {
        /** An upstream in use sends several answers a second, each with a load report; their average is its load. */
        const val SMOOTHING_WEIGHT = 0.4

        /** The average prefill time covers four times as many attempts as the average load covers reports. */
        const val PREFILL_SMOOTHING_DIVISOR = 4.0

        /** Load reports up to this age are used without a discount. */
        const val FRESH_REPORT_MS = 300L

        /** Requests of mean length have ended after this time. */
        const val DECAY_TIME_CONSTANT_MS = 500.0
    }
}

/**
 * One attempt of this process at an upstream.
 *
 * @property prefillMs the engine's time to prefill the part of the prompt that it has not cached.
 * @property decodeMs the time to decode the output.
 */
public data class OwnAttempt(
    val sentAtMs: Long,
    val prefillMs: Double,
    val decodeMs: Double,
    val hasFirstToken: Boolean = false,
) {
    /** True while its prefill is pending: until the first token shows that the engine has prefilled the prompt. */
    val isPending: Boolean get() = !hasFirstToken && prefillMs > 0
}
