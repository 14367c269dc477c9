package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.left
import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.medlarhook.core.intent.IntentProposal
import org.medlarhook.core.intent.IntentRefusal
import org.medlarhook.core.intent.IntentRow
import org.medlarhook.core.lease.LeaseScope
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderRefusal
import org.medlarhook.core.order.OrderRow
import org.medlarhook.core.usage.ReceiptSource
import org.medlarhook.core.usage.UsageReceipt
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.core.usage.UsageSettings
import org.medlarhook.ports.TimeSource
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsAck
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.runtime.operators.StateDump
import org.medlarhook.runtime.traffic.ControlTraffic
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit

/**
 * The control part of an entry. It acquires the leases of data centres and, while it holds them, sends orders to
 * upstreams, starts and stops upstreams, and collects usage. Leases are renewed on a thread of their own, so that no
 * other slow call delays a renewal; all other work runs on a second thread.
 */
internal class ControlPlane(
    entryId: String,
    private val dataCentre: String,
    private val platform: ControlPlatform,
    private val time: TimeSource,
    private val usageSettings: UsageSettings = UsageSettings(),
    private val leaseSettings: LeaseSettings = LeaseSettings(),
    private val traffic: ControlTraffic = ControlTraffic(SimpleMeterRegistry()),
) {
    private val logger = KotlinLogging.logger {}
    private val holder = entryId + ReceiptCopies.HOLDER_SEPARATOR + UUID.randomUUID()
    private val members = EntryMembers(entryId, platform.tables)
    private val controlled = ControlledDataCentres(dataCentre, platform.tables, members)
    private val controls = ConcurrentHashMap(mapOf(dataCentre to newControl(dataCentre)))
    private val copies = ConcurrentHashMap<String, ReceiptCopies>()
    private val leaseThread = Executors.newSingleThreadScheduledExecutor(::daemon)
    private val workThread = Executors.newSingleThreadScheduledExecutor(::daemon)

    /** True while this entry holds the lease on the upstreams of its own data centre. */
    val holdsUpstreamsLease: Boolean get() = controls.getValue(dataCentre).holdsUpstreamsLease

    /** Starts the periodic tasks. */
    fun start() {
        workThread.every(MEMBERS_EVERY_MS) { refreshMembers() }
        leaseThread.every(LEASE_TICK_MS) { forEachControl { it.runLeases() } }
        workThread.every(CHANNELS_EVERY_MS) { forEachControl { it.refreshChannels() } }
        workThread.every(WORK_EVERY_MS) { forEachControl { it.runWork() } }
        workThread.every(COPIES_EVERY_MS) { copies.values.forEach { it.run() } }
    }

    /** Stops the periodic tasks, offers the remaining copies of receipts, and releases the leases. */
    fun stop() {
        workThread.shutdown()
        workThread.awaitTermination(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
        guarded { copies.values.forEach { it.run() } }.run()
        leaseThread.shutdown()
        leaseThread.awaitTermination(STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
        forEachControl { it.release() }
    }

    /** True if the sidecar of [upstreamId] gets hints of new orders. Without hints it finds orders by polling. */
    fun hasSidecarChannel(upstreamId: String): Boolean = controlOf(upstreamId) != null

    /** Issues an order for [action]; refused unless this entry holds the lease on the upstreams of the data centre. */
    fun order(upstreamId: String, action: OrderAction): Either<OrderRefusal, OrderRow> =
        (controlOf(upstreamId) ?: controls.getValue(dataCentre)).orders.issue(upstreamId, action)

    /** Opens an intent to start or stop upstreams in [dataCentre]. */
    fun propose(proposal: IntentProposal, dataCentre: String = this.dataCentre): Either<IntentRefusal, IntentRow> =
        controls[dataCentre]?.intents?.propose(proposal) ?: IntentRefusal.NotInCharge.left()

    /** Stores a copy of the receipt of an attempt that ran at an upstream of [dataCentre]. */
    fun addReceiptCopy(dataCentre: String, receipt: Receipt) {
        copies.computeIfAbsent(dataCentre) { newCopies(it) }.add(receipt)
    }

    /** Commits the copies of receipts on a [page] from another entry. If this fails, that entry offers them again. */
    fun accept(page: ReceiptsPage): Either<UsageRefusal, ReceiptsAck> {
        val source = ReceiptSource(page.upstreamId, page.incarnation)
        val receipts = page.receiptsList.map { it.toUsageReceipt() }
        val watermark = controls.values.firstNotNullOfOrNull { it.accept(source, receipts).getOrNull() }
        if (watermark == null) return UsageRefusal.NotInCharge.left()
        val ack =
            ReceiptsAck
                .newBuilder()
                .setUpstreamId(page.upstreamId)
                .setIncarnation(page.incarnation)
                .setCoveredSequence(watermark)
        return Either.Right(ack.build())
    }

    /** Returns the state of the leases and the number of receipt copies for the state dump. */
    fun dump(): StateDump =
        StateDump {
            val leases = controls.entries.associate { it.key to it.value.dump() }
            JsonObject(leases + ("receiptCopies" to JsonPrimitive(copies.values.sumOf { it.size })))
        }

    private fun refreshMembers() {
        members.refresh()
        controlled.read().forEach { name -> controls.computeIfAbsent(name) { newControl(it) } }
    }

    private fun newControl(name: String): DataCentreControl =
        DataCentreControl(
            dataCentre = name,
            holder = holder,
            platform = platform,
            members = members,
            time = time,
            usageSettings = usageSettings,
            leaseSettings = leaseSettings,
            interceptor = traffic.clientInterceptor,
        )

    private fun newCopies(name: String): ReceiptCopies =
        ReceiptCopies(LeaseScope.usage(name), platform.tables, members) { source, receipts ->
            commitLocally(name, source, receipts)
        }

    private fun commitLocally(
        name: String,
        source: ReceiptSource,
        receipts: List<UsageReceipt>,
    ): Either<UsageRefusal, Long> = controls[name]?.accept(source, receipts) ?: UsageRefusal.NotInCharge.left()

    private fun controlOf(upstreamId: String): DataCentreControl? =
        controls.values.firstOrNull { it.channels.find(upstreamId) != null }

    /** Runs [task] for each data centre. A failure in one data centre does not affect the others. */
    private fun forEachControl(task: (DataCentreControl) -> Unit) {
        controls.values.forEach { control -> guarded { task(control) }.run() }
    }

    private fun ScheduledExecutorService.every(periodMs: Long, task: () -> Unit) {
        scheduleWithFixedDelay(guarded(task), 0, periodMs, TimeUnit.MILLISECONDS)
    }

    /** Logs exceptions of [task], because the executor does not run a periodic task again after an exception. */
    private fun guarded(task: () -> Unit) =
        Runnable {
            try {
                task()
            } catch (e: RuntimeException) {
                logger.error(e) { "control task failed; the other control tasks continue" }
            }
        }

    private fun daemon(task: Runnable): Thread = Thread(task, "control").apply { isDaemon = true }

    private companion object {
        const val LEASE_TICK_MS = 200L
        const val MEMBERS_EVERY_MS = 60_000L
        const val CHANNELS_EVERY_MS = 3_000L
        const val WORK_EVERY_MS = 2_000L
        const val COPIES_EVERY_MS = 30_000L
        const val STOP_LIMIT_MS = 5_000L
    }
}
