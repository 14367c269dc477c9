package org.medlarhook.core.retry

import kotlin.math.exp

/** Recent outcomes of one upstream. The counts decay exponentially with [EjectionSettings.decayMs]. */
internal data class UpstreamRecord(
    val consecutiveFailures: Int = 0,
    val failures: Double = 0.0,
    val outcomes: Double = 0.0,
    val updatedAtMs: Long = 0,
    val ejections: Int = 0,
    val ejectedUntilMs: Long = Long.MIN_VALUE,
    val slowStartFromMs: Long? = null,
) {
    fun isEjected(nowMs: Long): Boolean = nowMs < ejectedUntilMs

    fun isOutlier(settings: EjectionSettings): Boolean =
        consecutiveFailures >= settings.consecutiveFailures ||
            (outcomes >= settings.minOutcomes && failures / outcomes >= settings.failureShare)

    fun withOutcome(failed: Boolean, settings: EjectionSettings, nowMs: Long): UpstreamRecord {
        val decay = exp(-(nowMs - updatedAtMs).coerceAtLeast(0).toDouble() / settings.decayMs)
        val failure = if (failed) 1 else 0
        return copy(
            consecutiveFailures = if (failed) consecutiveFailures + 1 else 0,
            failures = failures * decay + failure,
            outcomes = outcomes * decay + 1,
            updatedAtMs = nowMs,
            ejections = if (failed || nowMs < ejectedUntilMs + settings.maxEjectionMs) ejections else 0,
        )
    }

    fun withEjection(settings: EjectionSettings, nowMs: Long): UpstreamRecord {
        val ejectionMs =
            (settings.baseEjectionMs shl ejections.coerceAtMost(MAX_DOUBLINGS)).coerceAtMost(settings.maxEjectionMs)
        return UpstreamRecord(
            updatedAtMs = nowMs,
            ejections = ejections + 1,
            ejectedUntilMs = nowMs + ejectionMs,
            slowStartFromMs = nowMs + ejectionMs,
        )
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
