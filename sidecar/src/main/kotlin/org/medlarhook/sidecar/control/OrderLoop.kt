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
 * Applies the orders for the upstream in a thread of its own, because calls to the engine block. If the process
 * registers under a new incarnation, the order in progress is finished first, so that two appliers never call the
 * engine at the same time.
 *
 * @param incarnation the current incarnation, or null before the registration.
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

    /** The newest order generation that this process has seen completed, or 0. */
    val completedGeneration: Long get() = applier?.orders?.state?.completedGeneration ?: 0

    @Volatile
    private var isRestored = false

    /** Restores the state that the order row records, before attempts are accepted; blocks until the tables answer. */
    fun awaitRestored() {
        while (!restore()) awaitTick()
        isRestored = true
    }

    /** Starts the thread that reads and applies orders. */
    fun start() {
        Thread(null, ::run, "orders", STACK_BYTES).apply { isDaemon = true }.start()
    }

    /** Reads the order row without waiting for the next poll, after a hint that it has changed. */
    fun hint() {
        applier?.orders?.hint()
        synchronized(wakeUp) { wakeUp.notifyAll() }
    }

    private fun run() {
        if (!isRestored) awaitRestored()
        while (true) {
            runOnce()
            awaitTick()
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

    /** Logs an unexpected exception, which would otherwise end the loop. */
    private fun runOnce() {
        try {
            currentApplier()?.run()
        } catch (e: RuntimeException) {
            logger.warnEvent(LogEvent.ORDER_FAILED, "cause" to e.toString())
        }
    }

    private fun currentApplier(): OrderApplier? {
        val registered = incarnation() ?: return null
        val existing = applier
        val mayReplace = existing == null || existing.orders.state is ApplierState.Idle
        if (existing?.incarnation == registered || !mayReplace) return existing?.orders
        val next = Applier(registered, OrderApplier(key, registered, ApplierSettings(), tables, engine, time))
        applier = next
        return next.orders
    }

    private fun awaitTick() {
        synchronized(wakeUp) { wakeUp.wait(TICK_MS) }
    }

    private companion object {
        const val TICK_MS = 500L
        const val STACK_BYTES = 262_144L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
