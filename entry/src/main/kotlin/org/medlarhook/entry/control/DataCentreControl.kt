package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import io.grpc.ClientInterceptor
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.intent.IntentRunner
import org.medlarhook.core.lease.LeaseGroup
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.order.OrderIssuer
import org.medlarhook.core.order.OrderKey
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageCollector
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.core.usage.UsageSettings
import org.medlarhook.ports.TimeSource

/** Acquires the leases on the upstreams and on the usage of one data centre, and does the work that requires them. */
internal class DataCentreControl(
    private val dataCentre: String,
    holder: String,
    private val platform: ControlPlatform,
    members: EntryMembers,
    time: TimeSource,
    usageSettings: UsageSettings,
    leaseSettings: LeaseSettings,
    interceptor: ClientInterceptor,
) {
    private val upstreams = LeaseScope.upstreams(dataCentre)
    private val usage = LeaseScope.usage(dataCentre)
    private val tables = platform.tables
    private val group = LeaseGroup(listOf(upstreams, usage), holder, leaseSettings, tables, time, maxHeld = 2)
    private val leases = LeaseLoop(dataCentre, group, members, time)
    private val collector = UsageCollector(dataCentre, usageSettings, tables, platform.reporting, time)

    /** Channels to the sidecars of the data centre; empty while this entry holds none of the leases. */
    val channels = SidecarChannels(dataCentre, tables, interceptor)

    /** Issues orders to upstreams while this entry holds the lease on upstreams. */
    val orders = OrderService(OrderIssuer(dataCentre, tables, time), channels) { leases.authority(upstreams) }

    /** Starts and stops upstreams while this entry holds the lease on upstreams. */
    val intents =
        IntentService(IntentRunner(dataCentre, tables, platform.ordering, time)) { leases.authority(upstreams) }

    private val usageLoop = UsageLoop(collector, channels) { leases.authority(usage) }

    /** True while this entry holds the lease on the upstreams of the data centre. */
    val holdsUpstreamsLease: Boolean get() = leases.authority(upstreams) != null

    /** Acquires and renews the leases. */
    fun runLeases(): Unit = leases.run()

    /** Finishes the open intent, and collects and reports usage. */
    fun runWork() {
        intents.run()
        usageLoop.run()
    }

    /** Opens channels to the sidecars, or closes them if this entry holds none of the leases. */
    fun refreshChannels() {
        val isNeeded = holdsUpstreamsLease || leases.authority(usage) != null
        if (isNeeded) channels.refresh() else channels.close()
    }

    /**
     * Commits copies of receipts and returns the watermark of their source. Sources of other data centres are refused,
     * because each data centre is a usage shard that counts the receipts of its own upstreams.
     */
    fun accept(source: ReceiptSource, receipts: List<UsageReceipt>): Either<UsageRefusal, Long> =
        if (isOwn(source)) usageLoop.accept(source, receipts) else UsageRefusal.NotInCharge.left()

    /** Releases the leases and closes the channels. */
    fun release() {
        leases.release()
        channels.close()
    }

    /** Returns the state of the leases for the state dump. */
    fun dump(): JsonObject =
        JsonObject(group.managers.entries.associate { it.key.name to JsonPrimitive(it.value.state.toString()) })

    private fun isOwn(source: ReceiptSource): Boolean {
        val row = tables.read(OrderKey(dataCentre, source.upstreamId).registrationRow)
        return row.getOrNull() != null
    }
}
