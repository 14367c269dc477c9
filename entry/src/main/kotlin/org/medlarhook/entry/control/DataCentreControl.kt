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

/** The leases of one data centre as one entry sees them, and the work that they allow. */
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

    /** The sidecars, while this entry holds one of the leases. */
    val channels = SidecarChannels(dataCentre, tables, interceptor)

    /** Orders to upstreams. */
    val orders = OrderService(OrderIssuer(dataCentre, tables, time), channels) { leases.authority(upstreams) }

    /** Starts and stops of upstreams. */
    val intents =
        IntentService(IntentRunner(dataCentre, tables, platform.ordering, time)) { leases.authority(upstreams) }

    private val usageLoop = UsageLoop(collector, channels) { leases.authority(usage) }

    /** True while this entry may order the upstreams. */
    val isInCharge: Boolean get() = leases.authority(upstreams) != null

    /** Takes and renews the leases. */
    fun runLeases(): Unit = leases.run()

    /** Finishes the open intent, and collects and reports usage. */
    fun runWork() {
        intents.run()
        usageLoop.run()
    }

    /** Opens channels to the sidecars while they are needed. */
    fun refreshChannels() {
        val isNeeded = isInCharge || leases.authority(usage) != null
        if (isNeeded) channels.refresh() else channels.close()
    }

    /**
     * Commits copies of receipts and returns the watermark of their source. Sources of other data centres are refused,
     * as another shard counts them.
     */
    fun accept(source: ReceiptSource, receipts: List<UsageReceipt>): Either<UsageRefusal, Long> =
        if (isOwn(source)) usageLoop.accept(source, receipts) else UsageRefusal.NotInCharge.left()

    /** Hands the leases back. */
    fun release() {
        leases.release()
        channels.close()
    }

    /** The state for dumps. */
    fun dump(): JsonObject =
        JsonObject(group.managers.entries.associate { it.key.name to JsonPrimitive(it.value.state.toString()) })

    private fun isOwn(source: ReceiptSource): Boolean {
        val row = tables.read(OrderKey(dataCentre, source.upstreamId).registrationRow)
        return row.getOrNull() != null
    }
}
