package org.medlarhook.core.retry

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.routing.UpstreamHealth

/**
 * Keeps failing upstreams out for a while, longer each time, and lets them back by a slow start.
 *
 * Errors count alike however fast they come: an upstream that answers at once with errors has little in flight and
 * would otherwise draw all requests. No more than a share of the upstreams is out at once.
 */
public class OutlierEjection private constructor(
    private val settings: EjectionSettings,
    private val records: PersistentMap<String, UpstreamRecord>,
) {
    public constructor(settings: EjectionSettings = EjectionSettings()) : this(settings, persistentMapOf())

    /** Starts the slow start of a new upstream. */
    public fun added(upstreamId: String, nowMs: Long): OutlierEjection =
        with(upstreamId, UpstreamRecord(slowStartFromMs = nowMs))

    /** Forgets an upstream that is gone. */
    public fun removed(upstreamId: String): OutlierEjection =
        OutlierEjection(settings, records.remove(upstreamId))

    /** Records an answer. */
    public fun succeeded(upstreamId: String, nowMs: Long): OutlierEjection {
        val record = records[upstreamId] ?: UpstreamRecord()
        return with(upstreamId, record.counted(failed = false, settings, nowMs))
    }

    /** Records a failure, and ejects the upstream if it fails too often and not too many are out of [fleetSize]. */
    public fun failed(upstreamId: String, fleetSize: Int, nowMs: Long): OutlierEjection {
        val record = (records[upstreamId] ?: UpstreamRecord()).counted(failed = true, settings, nowMs)
        val mayEject = !record.isOut(nowMs) && outCount(nowMs) + 1 <= fleetSize * settings.maxEjectedShare
        if (!mayEject || !record.isOutlier(settings)) return with(upstreamId, record)
        return with(upstreamId, record.ejected(settings, nowMs))
    }

    /** The health of [upstreamId] at [nowMs]. */
    public fun health(upstreamId: String, nowMs: Long): UpstreamHealth {
        val record = records[upstreamId] ?: return UpstreamHealth.GOOD
        if (record.isOut(nowMs)) return UpstreamHealth(ejected = true, admittedShare = 0.0)
        val fromMs = record.slowStartFromMs ?: return UpstreamHealth.GOOD
        val share = (nowMs - fromMs).toDouble() / settings.slowStartMs
        return UpstreamHealth(admittedShare = share.coerceIn(settings.slowStartShare, 1.0))
    }

    /** The number of upstreams that are out at [nowMs]. */
    public fun outCount(nowMs: Long): Int = records.values.count { it.isOut(nowMs) }

    private fun with(upstreamId: String, record: UpstreamRecord): OutlierEjection =
        OutlierEjection(settings, records.put(upstreamId, record))
}
