package org.medlarhook.core.fairness

import java.util.TreeSet

/**
 * The queued items of one workspace and its position in virtual time.
 *
 * @property number unique within a queue; breaks ties between flows.
 * @property virtualStart virtual time at which the next service of this workspace starts. It changes only while the
 * flow is in no ordered set, because the sets sort by it.
 */
internal class WorkspaceFlow<T>(
    val workspace: String,
    val number: Long,
    var weight: Int,
    var virtualStart: Double,
) {
    val items: TreeSet<QueuedItem<T>> = TreeSet(QueuedItem.BY_URGENCY)
    var queuedTokens: Long = 0
        private set

    /** The virtual time at which the service of the most urgent item ends. */
    val virtualFinish: Double get() = virtualStart + (items.firstOrNull()?.costTokens ?: 0).toDouble() / weight

    /** Queued tokens per unit of weight. */
    val backlog: Double get() = queuedTokens.toDouble() / weight

    fun add(item: QueuedItem<T>) {
        items.add(item)
        queuedTokens += item.costTokens
    }

    fun remove(item: QueuedItem<T>) {
        items.remove(item)
        queuedTokens -= item.costTokens
    }

    /** Advances the flow by the service of [costTokens]. */
    fun charge(costTokens: Long) {
        virtualStart += costTokens.toDouble() / weight
    }

    companion object {
        /** Orders flows by the virtual finish of the item that each serves next. */
        val BY_VIRTUAL_FINISH: Comparator<WorkspaceFlow<*>> =
            compareBy<WorkspaceFlow<*>> { it.virtualFinish }.thenBy { it.number }
    }
}
