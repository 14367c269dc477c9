package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.ports.ListedVm

/**
 * The upstreams that one entry has discovered, and which of them are eligible for new work.
 *
 * A notice that an upstream drains or leaves takes effect at once. No older row, list or report reverts it; only a
 * newer incarnation does. A report is dated no later than it was sent, not by its arrival, since it may have been
 * delayed on the network or in this process.
 *
 * @property rowsReadAtMs when the newest read of the rows started, or null.
 * @property silenceLimitMs maximum age of the newest report of an upstream that gets new work.
 */
public data class UpstreamView(
    val upstreams: PersistentMap<String, KnownUpstream> = persistentMapOf(),
    val vms: VmListView = VmListView(),
    val rowsReadAtMs: Long? = null,
    val silenceLimitMs: Long = SILENCE_LIMIT_MS,
) {
    /** Returns the view after a read of all rows between [startedAtMs] and [nowMs]. An outdated read is ignored. */
    public fun withRows(rows: List<UpstreamRegistration>, startedAtMs: Long, nowMs: Long): UpstreamView {
        if (rowsReadAtMs != null && startedAtMs < rowsReadAtMs) return this
        val ids = rows.map { it.upstreamId }.toSet()
        val withRows = rows.fold(upstreams) { all, row ->
            val known = all[row.upstreamId] ?: KnownUpstream(row, nowMs)
            all.put(row.upstreamId, known.withRow(row, nowMs))
        }
        val deleted = withRows.values.filter { it.registration.upstreamId !in ids && it.knownSinceMs < startedAtMs }
        val withRemovals = deleted.fold(withRows) { all, known ->
            all.put(known.registration.upstreamId, known.copy(removed = true))
        }
        return copy(upstreams = withRemovals, rowsReadAtMs = startedAtMs)
    }

    /** Returns the view after the VM list of the platform was read. */
    public fun withVms(list: List<ListedVm>, nowMs: Long): UpstreamView = copy(vms = vms.update(list, nowMs))

    /** Returns the view after a report that arrived at [nowMs] through the watch opened at [watchStartedAtMs]. */
    public fun withReport(report: UpstreamReport, watchStartedAtMs: Long, nowMs: Long): UpstreamView {
        val known = upstreams[report.upstreamId] ?: return this
        return copy(upstreams = upstreams.put(report.upstreamId, known.withReport(report, watchStartedAtMs, nowMs)))
    }

    /** Returns the upstreams that are eligible for new work. */
    public fun eligible(nowMs: Long): List<KnownUpstream> = upstreams.values.filter { isEligible(it, nowMs) }

    /** Returns the upstreams whose watch is missing, silent or older than [WATCH_MAX_AGE_MS]. */
    public fun needingWatch(nowMs: Long): List<KnownUpstream> =
        upstreams.values.filter { mayRun(it) && (it.isSilent(nowMs, silenceLimitMs) || hasDrifted(it, nowMs)) }

    private fun hasDrifted(known: KnownUpstream, nowMs: Long): Boolean =
        known.alignment != null && nowMs - known.alignment.startedAtMs > WATCH_MAX_AGE_MS

    private fun isEligible(known: KnownUpstream, nowMs: Long): Boolean {
        val draining = known.drainingIncarnation >= known.incarnation
        val leaving = vms.isLeaving(known.registration.vmId)
        return mayRun(known) && known.accepting && !draining && !leaving && !known.isSilent(nowMs, silenceLimitMs)
    }

    private fun mayRun(known: KnownUpstream): Boolean =
        !known.removed && vms.droppedAtMs(known.registration.vmId, known.knownSinceMs) == null

    public companion object {
        /** Four heartbeats. One second remains for delays within the bound of five seconds. */
        public const val SILENCE_LIMIT_MS: Long = 4_000

        /** Age at which a watch is replaced, because the two clocks have drifted apart since it was opened. */
        public const val WATCH_MAX_AGE_MS: Long = 600_000
    }
}
