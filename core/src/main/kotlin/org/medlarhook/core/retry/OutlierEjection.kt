package org.medlarhook.core.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.routing.UpstreamHealth

/**
 * Ejects failing upstreams from routing, for longer with each ejection, and readmits them with a slow start.
 *
 * A failure counts the same however fast it is: an upstream that fails at once has few requests in flight, so that
 * routing by load alone would send it all requests. At most [EjectionSettings.maxEjectedShare] of the upstreams is
 * ejected at the same time.
 */
public class OutlierEjection private constructor(
    private val settings: EjectionSettings,
    private val records: PersistentMap<String, UpstreamRecord>,
) {
    public constructor(settings: EjectionSettings = EjectionSettings()) : this(settings, persistentMapOf())

    /** Begins the slow start of a new upstream. */
    public fun added(upstreamId: String, nowMs: Long): OutlierEjection =
        withRecord(upstreamId, UpstreamRecord(slowStartFromMs = nowMs))

    /** Removes an upstream that no longer exists. */
    public fun removed(upstreamId: String): OutlierEjection =
        OutlierEjection(settings, records.remove(upstreamId))

    /** Records a success. */
    public fun succeeded(upstreamId: String, nowMs: Long): OutlierEjection {
        val record = records[upstreamId] ?: UpstreamRecord()
        return withRecord(upstreamId, record.withOutcome(failed = false, settings, nowMs))
    }

    /** Records a failure, and ejects an outlier unless too many of the [fleetSize] upstreams are ejected already. */
    public fun failed(upstreamId: String, fleetSize: Int, nowMs: Long): OutlierEjection {
        val record = (records[upstreamId] ?: UpstreamRecord()).withOutcome(failed = true, settings, nowMs)
        val mayEject = !record.isEjected(nowMs) && ejectedCount(nowMs) + 1 <= fleetSize * settings.maxEjectedShare
        if (!mayEject || !record.isOutlier(settings)) return withRecord(upstreamId, record)
        return withRecord(upstreamId, record.withEjection(settings, nowMs))
    }

    /** The health of [upstreamId] at [nowMs]. */
    public fun health(upstreamId: String, nowMs: Long): UpstreamHealth {
        val record = records[upstreamId] ?: return UpstreamHealth.GOOD
        if (record.isEjected(nowMs)) return UpstreamHealth(ejected = true, admittedShare = 0.0)
        val fromMs = record.slowStartFromMs ?: return UpstreamHealth.GOOD
        val share = (nowMs - fromMs).toDouble() / settings.slowStartMs
        return UpstreamHealth(admittedShare = share.coerceIn(settings.slowStartShare, 1.0))
    }

    /** The number of upstreams that are ejected at [nowMs]. */
    public fun ejectedCount(nowMs: Long): Int = records.values.count { it.isEjected(nowMs) }

    private fun withRecord(upstreamId: String, record: UpstreamRecord): OutlierEjection =
        OutlierEjection(settings, records.put(upstreamId, record))
}
