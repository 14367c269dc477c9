package org.medlarhook.core.membership

/**
 * An upstream as seen by one entry.
 *
 * @property registration the newest row of the upstream.
 * @property knownSinceMs when this entry discovered the incarnation.
 * @property incarnation the newest known incarnation.
 * @property drainingIncarnation the newest incarnation that reported that it drains, or 0.
 * @property removed true if the row was deleted.
 * @property accepting true if, by the newest report of this incarnation, its engine answers.
 * @property reportedAtMs a moment on this entry's clock that is not after the newest report was sent, or null.
 * @property alignment the clock alignment of the watch that delivered the newest report, or null.
 */
public data class KnownUpstream(
    val registration: UpstreamRegistration,
    val knownSinceMs: Long,
    val incarnation: Long = registration.incarnation,
    val drainingIncarnation: Long = 0,
    val removed: Boolean = false,
    val accepting: Boolean = false,
    val reportedAtMs: Long? = null,
    val alignment: ClockAlignment? = null,
) {
    /** True if the newest report is older than [limitMs]. */
    public fun isSilent(nowMs: Long, limitMs: Long): Boolean = reportedAtMs == null || nowMs - reportedAtMs > limitMs

    internal fun withRow(row: UpstreamRegistration, nowMs: Long): KnownUpstream =
        when {
            row.incarnation > incarnation -> restarted(row.incarnation, nowMs).copy(registration = row, removed = false)
            row.incarnation == incarnation -> copy(registration = row, removed = false)
            else -> this
        }

    internal fun withReport(report: UpstreamReport, watchStartMs: Long, nowMs: Long): KnownUpstream {
        val current = if (report.incarnation > incarnation) restarted(report.incarnation, nowMs) else this
        val notified = if (report.draining) current.draining(report.incarnation) else current
        val outdated = report.incarnation < incarnation || watchStartMs < (alignment?.startedAtMs ?: watchStartMs)
        return if (outdated) notified else notified.withNewReport(report, watchStartMs, nowMs)
    }

    private fun withNewReport(report: UpstreamReport, watchStartMs: Long, nowMs: Long): KnownUpstream {
        val current =
            alignment?.takeIf { it.startedAtMs == watchStartMs } ?: ClockAlignment(watchStartMs, report.sentAtMs)
        val sentMs = minOf(current.toOwnClockMs(report.sentAtMs), nowMs)
        val reordered = current == alignment && sentMs < (reportedAtMs ?: sentMs)
        return if (reordered) this else copy(accepting = report.accepting, reportedAtMs = sentMs, alignment = current)
    }

    private fun draining(incarnation: Long) = copy(drainingIncarnation = maxOf(drainingIncarnation, incarnation))

    private fun restarted(incarnation: Long, nowMs: Long) =
        copy(incarnation = incarnation, knownSinceMs = nowMs, accepting = false, reportedAtMs = null, alignment = null)
}
