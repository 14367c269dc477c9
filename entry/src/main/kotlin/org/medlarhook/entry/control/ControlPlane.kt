package org.medlarhook.entry.control

import arrow.core.Either
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.intent.IntentProposal
import org.medlarhook.core.intent.IntentRefusal
import org.medlarhook.core.intent.IntentRow
import org.medlarhook.core.intent.IntentRunner
import org.medlarhook.core.lease.LeaseGroup
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderIssuer
import org.medlarhook.core.order.OrderRefusal
import org.medlarhook.core.order.OrderRow
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageCollector
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.core.usage.UsageSettings
import org.medlarhook.platform.TableService
import org.medlarhook.platform.TimeSource
import org.medlarhook.platform.UpstreamOrdering
import org.medlarhook.platform.UsageReporting
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsAck
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.traffic.ControlTraffic
import java.util.UUID
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** The platform's services that control works with. */
internal class ControlPlatform(
    val tables: TableService,
    val ordering: UpstreamOrdering,
    val reporting: UsageReporting,
)

/**
 * The part of an entry that may be in charge of its data centre: leases, orders to upstreams, starts and stops, usage.
 * Leases run in one thread, so that a slow call elsewhere delays no renewal; all other work runs in a second one.
 */
internal class ControlPlane(
    entryId: String,
    private val dataCentre: String,
    platform: ControlPlatform,
    private val time: TimeSource,
    usageSettings: UsageSettings = UsageSettings(),
    leaseSettings: LeaseSettings = LeaseSettings(),
    traffic: ControlTraffic = ControlTraffic(SimpleMeterRegistry()),
) {
    private val logger = KotlinLogging.logger {}
    private val upstreams = LeaseScope.upstreams(dataCentre)
    private val usage = LeaseScope.usage(dataCentre)
    private val holder = entryId + ReceiptCopies.HOLDER_SEPARATOR + UUID.randomUUID()
    private val tables = platform.tables
    private val members = EntryMembers(entryId, dataCentre, tables)
    private val group = LeaseGroup(listOf(upstreams, usage), holder, leaseSettings, tables, time, maxHeld = 2)
    private val leases = LeaseLoop(group, members, time)
    private val channels = SidecarChannels(dataCentre, tables, traffic.clientInterceptor)
    private val orders = OrderService(OrderIssuer(dataCentre, tables, time), channels) { leases.authority(upstreams) }
    private val intents =
        IntentService(IntentRunner(dataCentre, tables, platform.ordering, time)) { leases.authority(upstreams) }
    private val collector = UsageCollector(dataCentre, usageSettings, tables, platform.reporting, time)
    private val usageLoop = UsageLoop(collector, channels) { leases.authority(usage) }
    private val copies = ReceiptCopies(usage, tables, members, usageLoop::accept)
    private val leaseThread = Executors.newSingleThreadScheduledExecutor(::daemon)
    private val workThread = Executors.newSingleThreadScheduledExecutor(::daemon)

    /** True while this entry may order the data centre's upstreams. */
    val isInCharge: Boolean get() = leases.authority(upstreams) != null

    /** Says whether orders to [upstreamId] are hinted to its sidecar; without a hint it learns of them by polling. */
    fun knowsSidecar(upstreamId: String): Boolean = channels.find(upstreamId) != null

    /** Starts the loops. */
    fun start() {
        workThread.every(MEMBERS_EVERY_MS) { members.refresh() }
        leaseThread.every(LEASE_TICK_MS) { leases.run() }
        workThread.every(CHANNELS_EVERY_MS) { refreshChannels() }
        workThread.every(INTENTS_EVERY_MS) { intents.run() }
        workThread.every(USAGE_EVERY_MS) { usageLoop.run() }
        workThread.every(COPIES_EVERY_MS) { copies.run() }
    }

    /** Ends the work, offers the last copies of receipts, and hands the leases back. */
    fun stop() {
        workThread.shutdown()
        workThread.awaitTermination(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
        guarded { copies.run() }.run()
        leaseThread.shutdown()
        leaseThread.awaitTermination(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
        guarded { leases.release() }.run()
        channels.close()
    }

    /** Orders [action] from an upstream of the data centre. */
    fun order(
        upstreamId: String,
        action: OrderAction,
    ): Either<OrderRefusal, OrderRow> = orders.issue(upstreamId, action)

    /** Opens a start or stop of upstreams. */
    fun propose(proposal: IntentProposal): Either<IntentRefusal, IntentRow> = intents.propose(proposal)

    /** Keeps a copy of the receipt of a request that this entry has served. */
    fun keep(receipt: Receipt): Unit = copies.keep(receipt)

    /** Says whether a copy of one more receipt finds its place with [inFlight] requests under way. */
    fun hasRoomForReceipts(inFlight: Int): Boolean = copies.hasRoom(inFlight)

    /** Takes copies that another entry offers; a left value means that they stay with that entry. */
    fun accept(page: ReceiptsPage): Either<UsageRefusal, ReceiptsAck> {
        val source = ReceiptSource(page.upstreamId, page.incarnation)
        return usageLoop.accept(source, page.receiptsList.map { it.toUsageReceipt() }).map { watermark ->
            ReceiptsAck
                .newBuilder()
                .setUpstreamId(page.upstreamId)
                .setIncarnation(page.incarnation)
                .setCoveredSequence(watermark)
                .build()
        }
    }

    /** The state for dumps. */
    fun dump(): StateDump =
        StateDump {
            val scopes = group.keepers.map { (scope, keeper) -> scope.name to JsonPrimitive(keeper.state.toString()) }
            JsonObject(scopes.toMap() + ("receiptCopies" to JsonPrimitive(copies.size)))
        }

    private fun refreshChannels() {
        val isNeeded = leases.authority(upstreams) != null || leases.authority(usage) != null
        if (isNeeded) channels.refresh() else channels.close()
    }

    private fun java.util.concurrent.ScheduledExecutorService.every(periodMs: Long, task: () -> Unit) {
        scheduleWithFixedDelay(guarded(task), 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** A task that fails must not end its schedule. */
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "a control task failed" }
            }
        }

    private fun daemon(task: Runnable): Thread = Thread(task, "control").apply { isDaemon = true }

    private companion object {
        const val LEASE_TICK_MS = 200L
        const val MEMBERS_EVERY_MS = 60_000L
        const val CHANNELS_EVERY_MS = 3_000L
        const val INTENTS_EVERY_MS = 1_000L
        const val USAGE_EVERY_MS = 2_000L
        const val COPIES_EVERY_MS = 30_000L
        const val STOP_LIMIT_MS = 5_000L
    }
}
