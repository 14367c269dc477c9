package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * What this process knows of the work at one upstream.
 *
 * @property own this process's attempts there that have not ended, by attempt.
 * @property report the last load that the upstream told with an answer.
 * @property cache the prompt parts that it is believed to hold.
 * @property speed how fast it has been against the model of its engine.
 * @property failures recent failures, for avoiding it.
 */
public data class UpstreamLoad(
    val slots: Int,
    val own: PersistentMap<String, OwnAttempt> = persistentMapOf(),
    val report: LoadReport? = null,
    val cache: PartCache = PartCache(),
    val speed: SpeedRatio = SpeedRatio(),
    val failures: FailureRecord = FailureRecord(),
) {
    /** Requests of other processes that run or wait there, discounted by the report's age. */
    public fun othersAt(nowMs: Long): Double {
        val last = report ?: return 0.0
        val ageMs = (nowMs - last.atMs).coerceAtLeast(0)
        return last.others * Math.exp(-ageMs / REPORT_DECAY_MS)
    }

    /** Requests of all processes that run or wait there. */
    public fun requestsAt(nowMs: Long): Double = own.size + othersAt(nowMs)

    /** This process's work there that delays a new prompt, in milliseconds of the engine. */
    public fun ownPrefillMs(): Double = own.values.sumOf { if (it.hasFirstToken) 0.0 else it.prefillMs }

    /** This process's attempts that have not got their first token. */
    public fun ownUnstarted(): Int = own.values.count { !it.hasFirstToken }

    /** Records the load that the upstream told at [nowMs]; this process's own attempts are taken out of it. */
    public fun told(running: Int, waiting: Int, nowMs: Long): UpstreamLoad {
        val others = (running + waiting - own.size).coerceAtLeast(0)
        return copy(report = LoadReport(nowMs, running, waiting, others.toDouble()))
    }

    private companion object {
        /** Requests of a mean length leave within this time; older reports say little. */
        const val REPORT_DECAY_MS = 400.0
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
)

/**
 * The load that an upstream told.
 *
 * @property others requests there that were not this process's when it told so.
 */
public data class LoadReport(
    val atMs: Long,
    val running: Int,
    val waiting: Int,
    val others: Double,
)
