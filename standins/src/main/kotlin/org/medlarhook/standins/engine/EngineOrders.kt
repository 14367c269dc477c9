package org.medlarhook.standins.engine

import java.util.concurrent.CopyOnWriteArrayList

/** Carries orders out one after the other and keeps a log of them. */
internal class EngineOrders(
    private val model: EngineModel,
) {
    private val lock = Any()
    private val loaded = CopyOnWriteArrayList(model.models)
    private val adapters = CopyOnWriteArrayList<String>()
    private var highestNumber = 0L

    /** All orders that were received, in the order of their completion. */
    val log = CopyOnWriteArrayList<LoggedOrder>()

    /** True while a role change takes the engine away. */
    @Volatile
    var isAway = false
        private set

    /** The present role. */
    @Volatile
    var role = "mixed"
        private set

    /** True if [body] can be served. */
    fun serves(body: GenerateBody): Boolean =
        body.model in loaded && (body.adapter.isEmpty() || "${body.model}/${body.adapter}" in adapters)

    /** The loaded models. */
    fun models(): List<String> = loaded.toList()

    /** Carries [order] out; false if its fencing number is old and the engine checks it. */
    fun apply(order: EngineOrderBody): Boolean =
        synchronized(lock) {
            val startedAtMs = System.currentTimeMillis()
            val isAllowed = !model.checksFencing || order.fencingNumber >= highestNumber
            if (isAllowed) {
                highestNumber = maxOf(highestNumber, order.fencingNumber)
                carryOut(order)
            }
            log += LoggedOrder(order, isAllowed, startedAtMs, System.currentTimeMillis())
            isAllowed
        }

    private fun carryOut(order: EngineOrderBody) {
        when (order.action) {
            "load-model" -> slowly { loaded.addIfAbsent(order.model) }
            "load-adapter" -> slowly { adapters.addIfAbsent("${order.model}/${order.adapter}") }
            "unload-model" -> slowly { loaded.remove(order.model) }
            "set-role" -> changeRole(order.role)
        }
    }

    private fun slowly(change: () -> Unit) {
        Thread.sleep(model.orderMs)
        change()
    }

    private fun changeRole(next: String) {
        if (next == role) return
        isAway = true
        Thread.sleep(model.roleChangeMs)
        role = next
        isAway = false
    }
}
