package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What this process knows of the work at one upstream.
 *
 * @property ownAttempts this process's attempts there that have not ended, by attempt.
 * @property otherRequests requests of other processes that run or wait there, a moving mean of what the upstream told.
 * @property reportedAtMs when the upstream told its load last.
 * @property meanPrefillMs the engine's time for a prompt of this process there, a moving mean.
 * @property cache the prompt parts that it is believed to hold.
 * @property speed how long it takes against the model of its engine.
 * @property failures recent failures, for avoiding it.
 */
public data class UpstreamLoad(
    val slots: Int,
    val ownAttempts: PersistentMap<String, OwnAttempt> = persistentMapOf(),
    val otherRequests: Double = 0.0,
    val reportedAtMs: Long? = null,
    val meanPrefillMs: Double = 0.0,
    val cache: PrefixCacheEstimate = PrefixCacheEstimate(),
    val speed: SpeedRatio = SpeedRatio(),
    val failures: FailureRecord = FailureRecord(),
) {
    /** Requests of other processes that run or wait there, discounted by the age of what is known. */
    public fun otherRequestsAt(nowMs: Long): Double {
        val ageMs = nowMs - (reportedAtMs ?: return 0.0)
        return otherRequests * Math.exp(-(ageMs - TRUSTED_MS).coerceAtLeast(0) / DECAY_MS)
    }

    /** Counts an attempt of this process that begins. */
    public fun sent(key: String, attempt: OwnAttempt): UpstreamLoad =
        copy(
            ownAttempts = ownAttempts.put(key, attempt),
            meanPrefillMs = meanPrefillMs + (attempt.prefillMs - meanPrefillMs) * SAMPLE_WEIGHT / MEAN_SAMPLES,
        )

    /**
     * The engine's time for all prompts that are believed to be unread there: this process's own, and as many of the
     * others' requests as of its own, with the mean of its own prompts.
     */
    public fun backlogMs(nowMs: Long): Double {
        val unreadShare =
            if (ownAttempts.isEmpty()) 1.0 else ownAttempts.values.count { it.isUnread }.toDouble() / ownAttempts.size
        return ownPrefillMs(nowMs) + otherRequestsAt(nowMs) * unreadShare * meanPrefillMs
    }

    /** True while this process has a long output written there. */
    public fun writesLongOutput(): Boolean = ownAttempts.values.any { it.decodeMs >= OwnAttempt.LONG_OUTPUT_MS }

    /** Requests of all processes that run or wait there. */
    public fun requestsAt(nowMs: Long): Double = ownAttempts.size + otherRequestsAt(nowMs)

    /** The engine's time for prompts that this process has sent there and that are not read yet. */
    public fun ownPrefillMs(nowMs: Long): Double {
        val unread = ownAttempts.values.filter { it.isUnread }
        val oldestMs = unread.minOfOrNull { it.sentAtMs } ?: return 0.0
        val total = unread.sumOf { it.prefillMs }
        val first = unread.first { it.sentAtMs == oldestMs }
        return total - (nowMs - oldestMs).toDouble().coerceIn(0.0, first.prefillMs)
    }

    /** Records the load that the upstream told at [nowMs]; this process's own attempts are taken out of it. */
    public fun withReportedLoad(running: Int, waiting: Int, nowMs: Long): UpstreamLoad {
        val sample = (running + waiting - ownAttempts.size).coerceAtLeast(0).toDouble()
        val weight = if (reportedAtMs == null) 1.0 else SAMPLE_WEIGHT
        return copy(otherRequests = otherRequests + (sample - otherRequests) * weight, reportedAtMs = nowMs)
    }

    private companion object {
        /** Several answers a second come from an upstream in use; their mean tells its load. */
        const val SAMPLE_WEIGHT = 0.4

        /** The mean prompt goes over four times as many attempts as the mean load over answers. */
        const val MEAN_SAMPLES = 4.0

        /** Until then what was told is taken as it is. */
        const val TRUSTED_MS = 300L

        /** Requests of a mean length have left after this time. */
        const val DECAY_MS = 500.0
    }
}

/**
 * One attempt of this process at an upstream.
 *
 * @property prefillMs the engine's time for the part of the prompt that it does not hold.
 * @property decodeMs the time for writing the output.
 */
public data class OwnAttempt(
    val sentAtMs: Long,
    val prefillMs: Double,
    val decodeMs: Double,
    val hasFirstToken: Boolean = false,
) {
    /** True while the engine has a prompt to read for it. */
    val isUnread: Boolean get() = !hasFirstToken && prefillMs > 0

    public companion object {
        /** An output that takes longer than this is a stream whose pauses matter. */
        public const val LONG_OUTPUT_MS: Double = 400.0
    }
}
