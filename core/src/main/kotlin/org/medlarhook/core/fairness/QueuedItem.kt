package org.medlarhook.core.fairness

/** A queued item with the attributes that determine its order. */
internal class QueuedItem<T>(
    val ticket: Ticket,
    val workspace: String,
    val costTokens: Long,
    val priority: Int,
    val deadlineMs: Long,
    val item: T,
) {
    companion object {
        /** Orders the items of one workspace by descending priority, then by deadline, then by arrival. */
        val BY_URGENCY: Comparator<QueuedItem<*>> =
            compareByDescending<QueuedItem<*>> { it.priority }
                .thenBy { it.deadlineMs }
                .thenBy { it.ticket.number }

        /** Orders items by deadline, then by arrival. */
        val BY_DEADLINE: Comparator<QueuedItem<*>> =
            compareBy<QueuedItem<*>> { it.deadlineMs }.thenBy { it.ticket.number }
    }
}
