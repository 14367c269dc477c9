package org.medlarhook.core.membership

/**
 * An upstream as one entry knows it.
 *
 * @property registration its newest row.
 * @property knownSinceMs when this entry first heard of its incarnation.
 * @property incarnation the newest incarnation heard of.
 * @property drainingIncarnation the newest incarnation that announced that it drains, or 0.
 * @property removed true if the row is gone.
 * @property accepting what the newest report of this incarnation said.
 * @property saidAtMs a moment on this entry's clock that is not after the newest report was sent, or null.
 * @property watch the watch that brought the newest report, or null.
 */
public data class KnownUpstream(
    val registration: UpstreamRegistration,
    val knownSinceMs: Long,
    val incarnation: Long = registration.incarnation,
    val drainingIncarnation: Long = 0,
    val removed: Boolean = false,
    val accepting: Boolean = false,
    val saidAtMs: Long? = null,
    val watch: ClockAlignment? = null,
) {
    /** True if the newest report is older than [limitMs]. */
    public fun isSilent(nowMs: Long, limitMs: Long): Boolean = saidAtMs == null || nowMs - saidAtMs > limitMs

    internal fun withRow(row: UpstreamRegistration, nowMs: Long): KnownUpstream =
        when {
            row.incarnation > incarnation -> restarted(row.incarnation, nowMs).copy(registration = row, removed = false)
            row.incarnation == incarnation -> copy(registration = row, removed = false)
            else -> this
        }

    internal fun withReport(report: UpstreamReport, watchStartedAtMs: Long, nowMs: Long): KnownUpstream {
        val current = if (report.incarnation > incarnation) restarted(report.incarnation, nowMs) else this
        val drained = if (report.draining) current.draining(report.incarnation) else current
        val outdated = report.incarnation < incarnation || watchStartedAtMs < (watch?.startedAtMs ?: watchStartedAtMs)
        return if (outdated) drained else drained.heard(report, watchStartedAtMs, nowMs)
    }

    private fun heard(report: UpstreamReport, watchStartedAtMs: Long, nowMs: Long): KnownUpstream {
        val base =
            watch?.takeIf { it.startedAtMs == watchStartedAtMs } ?: ClockAlignment(watchStartedAtMs, report.sentAtMs)
        val saidMs = minOf(base.toOwnClockMs(report.sentAtMs), nowMs)
        val overtaken = base == watch && saidMs < (saidAtMs ?: saidMs)
        return if (overtaken) this else copy(accepting = report.accepting, saidAtMs = saidMs, watch = base)
    }

    private fun draining(incarnation: Long) = copy(drainingIncarnation = maxOf(drainingIncarnation, incarnation))

    private fun restarted(incarnation: Long, nowMs: Long) =
        copy(incarnation = incarnation, knownSinceMs = nowMs, accepting = false, saidAtMs = null, watch = null)
}
