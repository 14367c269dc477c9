package org.medlarhook.core.retry

import kotlin.math.exp

/** Recent outcomes of one upstream. Counts decay with the time constant of the settings. */
internal data class UpstreamRecord(
    val consecutiveFailures: Int = 0,
    val failures: Double = 0.0,
    val answers: Double = 0.0,
    val countedAtMs: Long = 0,
    val ejections: Int = 0,
    val outUntilMs: Long = Long.MIN_VALUE,
    val slowStartFromMs: Long? = null,
) {
    fun isOut(nowMs: Long): Boolean = nowMs < outUntilMs

    fun isOutlier(settings: EjectionSettings): Boolean =
        consecutiveFailures >= settings.consecutiveFailures ||
            (answers >= settings.minAnswers && failures / answers >= settings.failureShare)

    fun counted(failed: Boolean, settings: EjectionSettings, nowMs: Long): UpstreamRecord {
        val kept = exp(-(nowMs - countedAtMs).coerceAtLeast(0).toDouble() / settings.memoryMs)
        val failure = if (failed) 1 else 0
        return copy(
            consecutiveFailures = if (failed) consecutiveFailures + 1 else 0,
            failures = failures * kept + failure,
            answers = answers * kept + 1,
            countedAtMs = nowMs,
            ejections = if (failed || nowMs < outUntilMs + settings.maxOutMs) ejections else 0,
        )
    }

    fun ejected(settings: EjectionSettings, nowMs: Long): UpstreamRecord {
        val outMs = (settings.baseOutMs shl ejections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(settings.maxOutMs)
        return UpstreamRecord(
            countedAtMs = nowMs,
            ejections = ejections + 1,
            outUntilMs = nowMs + outMs,
            slowStartFromMs = nowMs + outMs,
        )
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
