package org.medlarhook.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.ports.ListedVm

/**
 * The upstreams that one entry knows of, and which of them may get new work.
 *
 * A notice that an upstream drains or leaves acts at once, and no older row, list or report undoes it; only a newer
 * incarnation does. A report counts from when it was sent at the latest, not from when it came, since it may have been
 * held up on the way or in this process.
 *
 * @property rowsReadAtMs when the newest read of the rows started, or null.
 * @property silenceLimitMs how long an upstream may be silent before it gets no new work.
 */
public data class UpstreamView(
    val upstreams: PersistentMap<String, KnownUpstream> = persistentMapOf(),
    val vms: VmListView = VmListView(),
    val rowsReadAtMs: Long? = null,
    val silenceLimitMs: Long = SILENCE_LIMIT_MS,
) {
    /** Takes in all rows, read between [startedAtMs] and [nowMs]; an older read than the newest is ignored. */
    public fun withRows(rows: List<UpstreamRegistration>, startedAtMs: Long, nowMs: Long): UpstreamView {
        if (rowsReadAtMs != null && startedAtMs < rowsReadAtMs) return this
        val ids = rows.map { it.upstreamId }.toSet()
        val withRows = rows.fold(upstreams) { all, row ->
            val known = all[row.upstreamId] ?: KnownUpstream(row, nowMs)
            all.put(row.upstreamId, known.withRow(row, nowMs))
        }
        val gone = withRows.values.filter { it.registration.upstreamId !in ids && it.knownSinceMs < startedAtMs }
        val marked = gone.fold(withRows) { all, known ->
            all.put(known.registration.upstreamId, known.copy(removed = true))
        }
        return copy(upstreams = marked, rowsReadAtMs = startedAtMs)
    }

    /** Takes in the platform's list of VMs. */
    public fun withVms(list: List<ListedVm>, nowMs: Long): UpstreamView = copy(vms = vms.update(list, nowMs))

    /** Takes in a report that came at [nowMs] through the watch opened at [watchStartedAtMs]. */
    public fun withReport(report: UpstreamReport, watchStartedAtMs: Long, nowMs: Long): UpstreamView {
        val known = upstreams[report.upstreamId] ?: return this
        return copy(upstreams = upstreams.put(report.upstreamId, known.withReport(report, watchStartedAtMs, nowMs)))
    }

    /** The upstreams that may get new work. */
    public fun eligible(nowMs: Long): List<KnownUpstream> = upstreams.values.filter { isEligible(it, nowMs) }

    /** The upstreams that need a new watch: there is none, or it is silent, or so old that clocks have drifted. */
    public fun unwatched(nowMs: Long): List<KnownUpstream> =
        upstreams.values.filter { mayRun(it) && (it.isSilent(nowMs, silenceLimitMs) || hasDrifted(it, nowMs)) }

    private fun hasDrifted(known: KnownUpstream, nowMs: Long): Boolean =
        known.watch != null && nowMs - known.watch.startedAtMs > WATCH_MAX_AGE_MS

    private fun isEligible(known: KnownUpstream, nowMs: Long): Boolean {
        val draining = known.drainingIncarnation >= known.incarnation
        val leaving = vms.isLeaving(known.registration.vmId)
        return mayRun(known) && known.accepting && !draining && !leaving && !known.isSilent(nowMs, silenceLimitMs)
    }

    private fun mayRun(known: KnownUpstream): Boolean =
        !known.removed && vms.droppedAtMs(known.registration.vmId, known.knownSinceMs) == null

    public companion object {
        /** Four heartbeats; leaves a second for delays below the bound of five seconds. */
        public const val SILENCE_LIMIT_MS: Long = 4_000

        /** Age at which a watch is replaced by a new one. */
        public const val WATCH_MAX_AGE_MS: Long = 600_000
    }
}
