package org.medlarhook.entry.control

import arrow.core.Either
import arrow.core.right
import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.grpc.stub.StreamObserver
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.medlarhook.core.intent.IntentProposal
import org.medlarhook.core.lease.LeaseSettings
import org.medlarhook.core.membership.UpstreamRegistration
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderKey
import org.medlarhook.core.order.OrderRefusal
import org.medlarhook.core.usage.UsageRefusal
import org.medlarhook.core.usage.UsageSettings
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.ports.TableFailure
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.UpstreamOrder
import org.medlarhook.ports.UpstreamOrdering
import org.medlarhook.ports.UsageReport
import org.medlarhook.ports.UsageReporting
import org.medlarhook.ports.Write
import org.medlarhook.protocol.OrderHint
import org.medlarhook.protocol.OrderHintAck
import org.medlarhook.protocol.Receipt
import org.medlarhook.protocol.ReceiptsPage
import org.medlarhook.protocol.ReceiptsRequest
import org.medlarhook.protocol.SidecarServiceGrpc
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class ControlPlaneTest {
    private val tables = InMemoryTableService()
    private val hints = CopyOnWriteArrayList<Long>()
    private val orders = CopyOnWriteArrayList<UpstreamOrder>()
    private val reports = CopyOnWriteArrayList<UsageReport>()
    private val pulledAfter = CopyOnWriteArrayList<Long>()
    private val planes = mutableListOf<ControlPlane>()
    private val server: Server = NettyServerBuilder.forPort(0).addService(SidecarStub()).build().start()

    private inner class SidecarStub : SidecarServiceGrpc.SidecarServiceImplBase() {
        override fun notifyOrder(hint: OrderHint, responses: StreamObserver<OrderHintAck>) {
            hints += hint.generation
            responses.onNext(OrderHintAck.getDefaultInstance())
            responses.onCompleted()
        }

        override fun pullReceipts(request: ReceiptsRequest, responses: StreamObserver<ReceiptsPage>) {
            pulledAfter += request.afterSequence
            val open = (1L..3L).filter { it > request.afterSequence }.map { receipt(it) }
            responses.onNext(ReceiptsPage.newBuilder().addAllReceipts(open).build())
            responses.onCompleted()
        }
    }

    private val platform =
        ControlPlatform(
            tables = tables,
            ordering =
                object : UpstreamOrdering {
                    override fun order(order: UpstreamOrder): Either<TableFailure, Unit> = Unit.right().also {
                        orders +=
                            order
                    }
                },
            reporting =
                object : UsageReporting {
                    override fun deliver(
                        report: UsageReport,
                    ): Either<TableFailure, Unit> = Unit.right().also {
                        reports +=
                            report
                    }
                },
        )

    private fun receipt(sequence: Long): Receipt =
        Receipt
            .newBuilder()
            .setUpstreamId("u1")
            .setIncarnation(1)
            .setSequence(sequence)
            .setWorkspace("w")
            .setResource("verdict-lm")
            .setPromptTokens(10)
            .setFinishedAtMs(System.currentTimeMillis())
            .build()

    private fun plane(id: String): ControlPlane {
        val leases = LeaseSettings(durationMs = 1_500, marginMs = 200, longestOutboundCallMs = 300, 300, 300, 50)
        val usage = UsageSettings(windowMs = 500, freezeAfterMs = 100)
        val plane = ControlPlane(id, "nord", platform, SystemTimeSource, usage, leases)
        planes += plane
        plane.start()
        return plane
    }

    private fun register(upstreamId: String = "u1", dataCentre: String = "nord") {
        val row = UpstreamRegistration(upstreamId, "vm1", dataCentre, "r", 1, "127.0.0.1:${server.port}")
        val write =
            Write(
                OrderKey(dataCentre, upstreamId).registrationRow,
                Json.encodeToString(UpstreamRegistration.serializer(), row),
            )
        tables.transact(Transaction(emptyList(), listOf(write)))
    }

    private fun eventually(condition: () -> Boolean) {
        val endMs = System.currentTimeMillis() + 15_000
        while (!condition()) {
            assertTrue(System.currentTimeMillis() < endMs, "condition not met within 15 s")
            Thread.sleep(20)
        }
    }

    @AfterEach
    fun stop() {
        planes.forEach { it.stop() }
        server.shutdownNow()
    }

    @Nested
    inner class WhileLeaseIsHeld {
        @Test
        fun `Given a registered upstream, then an order is written and hinted, and a second one is refused`() {
            register()
            val plane = plane("entry-1")
            eventually { plane.holdsUpstreamsLease && plane.hasSidecarChannel("u1") }
            assertNotNull(plane.order("u1", OrderAction.LoadModel("verdict-lm", "v2")).getOrNull())
            eventually { hints == listOf(1L) }
            assertIs<OrderRefusal.PreviousOpen>(plane.order("u1", OrderAction.Drain).leftOrNull())
        }

        @Test
        fun `Given a proposed intent, then the platform receives the order`() {
            val plane = plane("entry-1")
            eventually { plane.holdsUpstreamsLease && plane.propose(IntentProposal("verdict-lm", 3)).isRight() }
            eventually { orders.isNotEmpty() }
            assertEquals(setOf(3), orders.map { it.targetCount }.toSet())
        }

        @Test
        fun `Given receipts at the sidecar and a copy of one of them, then each receipt is reported once`() {
            register()
            val plane = plane("entry-1")
            plane.addReceiptCopy("nord", receipt(2))
            eventually { reports.any { it.lines.isNotEmpty() } && pulledAfter.contains(3L) }
            Thread.sleep(2_500)
            val windows = reports.associateBy { it.windowStartMs }.values
            assertEquals(30, windows.sumOf { report -> report.lines.sumOf { it.promptTokens } })
        }
    }

    @Nested
    inner class OtherDataCentres {
        @Test
        fun `Given a data centre with upstreams and no entry, then an entry elsewhere issues orders to them`() {
            register("u2", "sud")
            val plane = plane("entry-1")
            eventually { plane.hasSidecarChannel("u2") }
            assertNotNull(plane.order("u2", OrderAction.Drain).getOrNull())
            assertNotNull(tables.read(OrderKey("sud", "u2").orderRow).getOrNull())
        }

        @Test
        fun `Given a copy of a receipt of another data centre, then it is refused and not counted in this shard`() {
            val plane = plane("entry-1")
            eventually { plane.holdsUpstreamsLease }
            val page = ReceiptsPage.newBuilder().setUpstreamId("u9").setIncarnation(1).addReceipts(receipt(1))
            assertIs<UsageRefusal.NotInCharge>(plane.accept(page.build()).leftOrNull())
        }
    }

    @Nested
    inner class LeaseHandover {
        @Test
        fun `Given a lease holder that stops, then another entry acquires the lease and the first issues no orders`() {
            register()
            val first = plane("entry-1")
            eventually { first.holdsUpstreamsLease }
            val second = plane("entry-2")
            first.stop()
            eventually { second.holdsUpstreamsLease }
            assertIs<OrderRefusal.NotInCharge>(first.order("u1", OrderAction.Drain).leftOrNull())
            assertNotNull(second.order("u1", OrderAction.Drain).getOrNull())
        }
    }
}
