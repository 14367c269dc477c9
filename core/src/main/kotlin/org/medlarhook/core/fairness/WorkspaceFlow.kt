package org.medlarhook.core.fairness

import java.util.TreeSet

/**
 * The queued items of one workspace and its position in virtual time.
 *
 * @property virtualStart where the next service of this workspace starts; changed only while the flow is in no set.
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

    /** Where the service of the most urgent item would end. */
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

    /** Moves the flow on by the service of [costTokens]. */
    fun charge(costTokens: Long) {
        virtualStart += costTokens.toDouble() / weight
    }

    companion object {
        /** Orders flows by the virtual finish of what they serve next. */
        val BY_VIRTUAL_FINISH: Comparator<WorkspaceFlow<*>> =
            compareBy<WorkspaceFlow<*>> { it.virtualFinish }.thenBy { it.number }
    }
}
