package org.medlarhook.core.fairness

/** Baseline to compare [FairQueue] with: serves all workspaces in order of arrival. */
public class FifoQueue<T>(
    private val maxItems: Int,
) : RequestQueue<T> {
    private val itemByTicket = LinkedHashMap<Ticket, QueuedItem<T>>()
    private var lastNumber = 0L

    override val size: Int get() = itemByTicket.size

    override val queuedTokens: Long get() = itemByTicket.values.sumOf { it.costTokens }

    override fun queuedTokens(workspace: String): Long =
        itemByTicket.values.filter { it.workspace == workspace }.sumOf { it.costTokens }

    override fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long = queuedTokens

    override fun offer(
        workspace: String,
        weight: Int,
        costTokens: Long,
        priority: Int,
        deadlineMs: Long,
        nowMs: Long,
        item: T,
    ): OfferResult<T> {
        if (deadlineMs <= nowMs) return OfferResult.Expired
        if (size >= maxItems) return OfferResult.Full
        val ticket = Ticket(++lastNumber)
        itemByTicket[ticket] = QueuedItem(ticket, workspace, costTokens, priority, deadlineMs, item)
        return OfferResult.Accepted(ticket)
    }

    override fun poll(nowMs: Long): T? {
        val next = itemByTicket.values.firstOrNull { it.deadlineMs > nowMs } ?: return null
        return remove(next.ticket)
    }

    override fun remove(ticket: Ticket): T? = itemByTicket.remove(ticket)?.item

    override fun expire(nowMs: Long): List<T> {
        val expired = itemByTicket.values.filter { it.deadlineMs <= nowMs }
        expired.forEach { remove(it.ticket) }
        return expired.map { it.item }
    }
}
