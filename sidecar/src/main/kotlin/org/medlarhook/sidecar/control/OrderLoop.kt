package org.medlarhook.sidecar.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import org.medlarhook.core.order.ApplierSettings
import org.medlarhook.core.order.ApplierState
import org.medlarhook.core.order.OrderApplier
import org.medlarhook.core.order.OrderKey
import org.medlarhook.core.order.OrderRow
import org.medlarhook.core.order.OrderStatus
import org.medlarhook.ports.TableService
import org.medlarhook.ports.TimeSource
import org.medlarhook.runtime.log.LogEvent
import org.medlarhook.runtime.log.warnEvent

/**
 * Applies the orders for the upstream in a thread of its own, as the engine's calls block. If the process registers
 * under a new incarnation, the order at hand is finished first, so that never two appliers call the engine.
 *
 * @param incarnation the present incarnation, null before the registration.
 */
internal class OrderLoop(
    private val key: OrderKey,
    private val incarnation: () -> Long?,
    private val tables: TableService,
    private val engine: OrderExecutor,
    private val time: TimeSource,
) {
    private class Applier(
        val incarnation: Long,
        val orders: OrderApplier,
    )

    private val logger = KotlinLogging.logger {}
    private val wakeUp = Object()

    @Volatile
    private var applier: Applier? = null

    /** The generation that was completed last, as far as this process knows. */
    val completedGeneration: Long get() = applier?.orders?.state?.completedGeneration ?: 0

    @Volatile
    private var isRestored = false

    /** Reads the row before attempts are accepted; blocks until the tables answer. */
    fun awaitRestored() {
        while (!restore()) pause()
        isRestored = true
    }

    /** Starts the thread. */
    fun start() {
        Thread(null, ::run, "orders", STACK_BYTES).apply { isDaemon = true }.start()
    }

    /** Reads the row soon, as someone says that it has changed. */
    fun hint() {
        applier?.orders?.hint()
        synchronized(wakeUp) { wakeUp.notifyAll() }
    }

    private fun run() {
        if (!isRestored) awaitRestored()
        while (true) {
            runGuarded()
            pause()
        }
    }

    private fun restore(): Boolean =
        tables.read(key.orderRow).fold(
            { false },
            { row ->
                val order = row?.let { JSON.decodeFromString(OrderRow.serializer(), it.value) }
                if (order?.status == OrderStatus.APPLIED) engine.restore(order.action, order.generation)
                true
            },
        )

    /** A fault of this program must not end the loop. */
    private fun runGuarded() {
        try {
            presentApplier()?.run()
        } catch (e: RuntimeException) {
            logger.warnEvent(LogEvent.ORDER_FAILED, "cause" to e.toString())
        }
    }

    private fun presentApplier(): OrderApplier? {
        val registered = incarnation() ?: return null
        val present = applier
        val isFree = present == null || present.orders.state is ApplierState.Idle
        if (present?.incarnation == registered || !isFree) return present?.orders
        val next = Applier(registered, OrderApplier(key, registered, ApplierSettings(), tables, engine, time))
        applier = next
        return next.orders
    }

    private fun pause() {
        synchronized(wakeUp) { wakeUp.wait(TICK_MS) }
    }

    private companion object {
        const val TICK_MS = 500L
        const val STACK_BYTES = 262_144L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
