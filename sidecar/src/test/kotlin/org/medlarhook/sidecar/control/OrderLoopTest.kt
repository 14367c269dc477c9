package org.medlarhook.sidecar.control

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import org.medlarhook.core.order.OrderAction
import org.medlarhook.core.order.OrderKey
import org.medlarhook.core.order.OrderRow
import org.medlarhook.core.order.OrderStatus
import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.fakes.InMemoryTableService
import org.medlarhook.ports.SystemTimeSource
import org.medlarhook.ports.Transaction
import org.medlarhook.ports.Write
import org.medlarhook.runtime.settings.EngineSettings
import org.medlarhook.runtime.settings.ListenAddress
import org.medlarhook.runtime.settings.PlatformSettings
import org.medlarhook.runtime.settings.SidecarSettings
import org.medlarhook.sidecar.engine.EngineAction
import org.medlarhook.sidecar.engine.EngineOrderClient
import org.medlarhook.sidecar.engine.EngineReply
import org.medlarhook.sidecar.status.StatusPublisher
import org.medlarhook.sidecar.status.UpstreamState
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class OrderLoopTest {
    private val tables = InMemoryTableService()
    private val key = OrderKey("nord", "u1")
    private val runningAttempts = AtomicInteger()
    private val received = CopyOnWriteArrayList<EngineAction>()
    private val acceptingDuringCall = CopyOnWriteArrayList<Boolean>()
    private val address = ListenAddress(port = 1)
    private val settings =
        SidecarSettings(
            "u1",
            "vm",
            "nord",
            "r",
            address,
            address,
            PlatformSettings(""),
            EngineSettings("", listOf("m")),
        )
    private val state = UpstreamState(settings) { null }
    private val engine =
        object : EngineOrderClient {
            override fun apply(action: EngineAction, fencingNumber: Long): EngineReply {
                received += action
                acceptingDuringCall += state.isAccepting
                return EngineReply.Done
            }
        }

    private fun startLoop(): OrderLoop {
        state.incarnation = 1
        state.isHealthy = true
        val publisher = StatusPublisher(state::toMessage)
        val gate = IntakeGate(state, {}, runningAttempts::get, publisher, SystemTimeSource)
        return OrderLoop(key, {
            state.incarnation
        }, tables, OrderExecutor(engine, gate, state, publisher), SystemTimeSource).also { it.start() }
    }

    private fun writeOrder(row: OrderRow) {
        val write = Write(key.orderRow, Json.encodeToString(OrderRow.serializer(), row))
        tables.transact(Transaction(emptyList(), listOf(write)))
    }

    private fun status(): OrderStatus? =
        tables.read(key.orderRow).getOrNull()?.let { Json.decodeFromString(OrderRow.serializer(), it.value).status }

    private fun awaitCondition(condition: () -> Boolean) {
        val endMs = System.currentTimeMillis() + 10_000
        while (!condition()) {
            assertTrue(System.currentTimeMillis() < endMs, "the condition did not hold within 10 s")
            Thread.sleep(20)
        }
    }

    @Nested
    inner class Apply {
        @Test
        fun `Given a running attempt, then a role change waits for its end with the intake closed`() {
            runningAttempts.set(1)
            writeOrder(OrderRow(1, 1, 1, "n", OrderAction.SetRole(UpstreamRole.PREFILL)))
            startLoop()
            awaitCondition { !state.isAccepting }
            assertTrue(received.isEmpty())
            runningAttempts.set(0)
            awaitCondition { status() == OrderStatus.APPLIED && state.isAccepting }
            assertEquals(listOf(false), acceptingDuringCall)
            assertEquals("PREFILL", state.reported.role.name)
        }

        @Test
        fun `Given a hint, then a new order is read before the next poll`() {
            val loop = startLoop()
            Thread.sleep(1_000)
            writeOrder(OrderRow(1, 1, 1, "n", OrderAction.LoadModel("m2", "v1")))
            loop.hint()
            awaitCondition { loop.completedGeneration == 1L }
            assertEquals(listOf<EngineAction>(EngineAction.LoadModel("m2", "v1")), received)
        }
    }

    @Nested
    inner class Restart {
        @Test
        fun `Given a drain applied before a restart, then the intake stays closed`() {
            writeOrder(OrderRow(4, 1, 1, "n", OrderAction.Drain, OrderStatus.APPLIED))
            startLoop()
            awaitCondition { !state.isAccepting }
        }
    }
}
