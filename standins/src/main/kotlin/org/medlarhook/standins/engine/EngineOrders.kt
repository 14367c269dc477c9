package org.medlarhook.standins.engine

import java.util.concurrent.CopyOnWriteArrayList

/** Executes the orders of the sidecar one at a time, and logs them. */
internal class EngineOrders(
    private val options: EngineOptions,
) {
    private val lock = Any()
    private val loaded = CopyOnWriteArrayList(options.models)
    private val adapters = CopyOnWriteArrayList<String>()
    private var highestFencingNumber = 0L

    /** All received orders, refused ones included, in the order of their completion. */
    val log = CopyOnWriteArrayList<LoggedOrder>()

    /** True while the engine changes its role and serves nothing. */
    @Volatile
    var isChangingRole = false
        private set

    /** The role set by the last `set-role` order; `mixed` after the start. */
    @Volatile
    var role = "mixed"
        private set

    /** Returns true if the model and the adapter of [body] are loaded. */
    fun serves(body: GenerateBody): Boolean =
        body.model in loaded && (body.adapter.isEmpty() || "${body.model}/${body.adapter}" in adapters)

    /** Returns the names of the loaded models. */
    fun models(): List<String> = loaded.toList()

    /** Executes [order]; returns false if the engine checks fencing numbers and has seen a higher one. */
    fun apply(order: EngineOrderBody): Boolean =
        synchronized(lock) {
            val startedAtMs = System.currentTimeMillis()
            val isAllowed = !options.checksFencing || order.fencingNumber >= highestFencingNumber
            if (isAllowed) {
                highestFencingNumber = maxOf(highestFencingNumber, order.fencingNumber)
                execute(order)
            }
            log += LoggedOrder(order, isAllowed, startedAtMs, System.currentTimeMillis())
            isAllowed
        }

    private fun execute(order: EngineOrderBody) {
        when (order.action) {
            "load-model" -> afterOrderTime { loaded.addIfAbsent(order.model) }
            "load-adapter" -> afterOrderTime { adapters.addIfAbsent("${order.model}/${order.adapter}") }
            "unload-model" -> afterOrderTime { loaded.remove(order.model) }
            "set-role" -> changeRole(order.role)
        }
    }

    private fun afterOrderTime(change: () -> Unit) {
        Thread.sleep(options.orderMs)
        change()
    }

    private fun changeRole(next: String) {
        if (next == role) return
        isChangingRole = true
        Thread.sleep(options.roleChangeMs)
        role = next
        isChangingRole = false
    }
}
