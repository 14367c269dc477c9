package org.medlarhook.core.fairness

/** An item with what decides its place. */
internal class QueuedItem<T>(
    val ticket: Ticket,
    val workspace: String,
    val costTokens: Long,
    val priority: Int,
    val deadlineMs: Long,
    val item: T,
) {
    companion object {
        /** Orders the items of one workspace: priority, deadline, arrival. */
        val BY_URGENCY: Comparator<QueuedItem<*>> =
            compareByDescending<QueuedItem<*>> { it.priority }
                .thenBy { it.deadlineMs }
                .thenBy { it.ticket.number }

        /** Orders items by deadline. */
        val BY_DEADLINE: Comparator<QueuedItem<*>> =
            compareBy<QueuedItem<*>> { it.deadlineMs }.thenBy { it.ticket.number }
    }
}
