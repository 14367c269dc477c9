package org.medlarhook.core.fairness

import java.util.TreeSet

/**
 * A weighted fair queue over workspaces that counts service in tokens: self-clocked fair queueing (Golestani, INFOCOM
 * 1994).
 *
 * While two workspaces both have items queued, their served tokens per unit of weight differ by at most the cost of one
 * item and the credit of each of the two. Credit is the part of its past share that a workspace did not request and may
 * use at once, so that a short burst of a small workspace does not wait like a permanent backlog. Priorities order
 * items only within a workspace, so that no workspace gains by raising the priorities of its own items. When the queue
 * is full, a new item displaces the least urgent item of the workspace with the largest backlog per unit of weight; the
 * new item is refused if no backlog is larger than that of its own workspace. State grows with the items held and the
 * workspaces seen.
 *
 * @param maxItems the largest number of items held.
 * @param creditTokens the largest credit of a workspace, in tokens.
 */
public class FairQueue<T>(
    private val maxItems: Int,
    private val creditTokens: Long = DEFAULT_CREDIT_TOKENS,
) : RequestQueue<T> {
    private val itemByTicket = HashMap<Ticket, QueuedItem<T>>()
    private val flowByWorkspace = HashMap<String, WorkspaceFlow<T>>()
    private val activeFlows = TreeSet<WorkspaceFlow<T>>(WorkspaceFlow.BY_VIRTUAL_FINISH)
    private val idleFlows = TreeSet<WorkspaceFlow<T>>(WorkspaceFlow.BY_VIRTUAL_FINISH)
    private val byDeadline = TreeSet<QueuedItem<T>>(QueuedItem.BY_DEADLINE)
    private var virtualTime = 0.0
    private var lastNumber = 0L

    override val size: Int get() = itemByTicket.size

    override var queuedTokens: Long = 0
        private set

    override fun queuedTokens(workspace: String): Long = flowByWorkspace[workspace]?.queuedTokens ?: 0

    override fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long {
        val own = flowByWorkspace[workspace]
        val virtualStart =
            own?.takeIf { it.items.isNotEmpty() }?.virtualStart ?: startAfterIdle(own?.virtualStart, weight)
        val virtualFinish = virtualStart + ((own?.queuedTokens ?: 0) + costTokens).toDouble() / weight
        return activeFlows.sumOf { flow ->
            val servedBefore =
                ((virtualFinish - flow.virtualStart) * flow.weight).toLong().coerceIn(0, flow.queuedTokens)
            if (flow === own) flow.queuedTokens else servedBefore
        }
    }

    override fun offer(
        workspace: String,
        weight: Int,
        costTokens: Long,
        priority: Int,
        deadlineMs: Long,
        nowMs: Long,
        item: T,
    ): OfferResult<T> {
        require(weight > 0) { "weight must be positive, got $weight" }
        require(costTokens > 0) { "cost must be at least 1 token, got $costTokens" }
        if (deadlineMs <= nowMs) return OfferResult.Expired
        val ownBacklog = (queuedTokens(workspace) + costTokens).toDouble() / weight
        val displaced = if (size < maxItems) null else (itemToDisplace(ownBacklog) ?: return OfferResult.Full)
        displaced?.let { detach(it) }
        val queued = QueuedItem(Ticket(++lastNumber), workspace, costTokens, priority, deadlineMs, item)
        insert(queued, weight)
        return OfferResult.Accepted(queued.ticket, displaced?.item)
    }

    override fun poll(nowMs: Long): T? {
        val flow = activeFlows.firstOrNull { flow -> flow.items.any { it.deadlineMs > nowMs } } ?: return null
        val queued = flow.items.first { it.deadlineMs > nowMs }
        detach(queued)
        reposition(flow) { flow.charge(queued.costTokens) }
        virtualTime = maxOf(virtualTime, flow.virtualStart)
        removeIdleFlows()
        return queued.item
    }

    override fun remove(ticket: Ticket): T? = itemByTicket[ticket]?.also { detach(it) }?.item

    override fun expire(nowMs: Long): List<T> {
        val expired = byDeadline.takeWhile { it.deadlineMs <= nowMs }
        expired.forEach { detach(it) }
        return expired.map { it.item }
    }

    private fun insert(queued: QueuedItem<T>, weight: Int) {
        val flow = flowByWorkspace.getOrPut(queued.workspace) {
            WorkspaceFlow(queued.workspace, ++lastNumber, weight, startAfterIdle(null, weight))
        }
        reposition(flow) {
            if (flow.items.isEmpty()) flow.virtualStart = startAfterIdle(flow.virtualStart, weight)
            flow.weight = weight
            flow.add(queued)
        }
        itemByTicket[queued.ticket] = queued
        byDeadline.add(queued)
        queuedTokens += queued.costTokens
    }

    /**
     * The virtual start of a flow of [weight] that had no items queued: its last [virtualStart] (null for a new flow),
     * but at the earliest the current virtual time minus its credit.
     */
    private fun startAfterIdle(virtualStart: Double?, weight: Int): Double {
        val earliest = virtualTime - creditTokens.toDouble() / weight
        return maxOf(virtualStart ?: earliest, earliest)
    }

    /** Removes [queued] from its flow and from all indexes. */
    private fun detach(queued: QueuedItem<T>) {
        val flow = flowByWorkspace.getValue(queued.workspace)
        reposition(flow) { flow.remove(queued) }
        itemByTicket.remove(queued.ticket)
        byDeadline.remove(queued)
        queuedTokens -= queued.costTokens
    }

    /** Runs [change] while [flow] is in neither ordered set, because [change] modifies the sort keys of both. */
    private fun reposition(flow: WorkspaceFlow<T>, change: () -> Unit) {
        activeFlows.remove(flow)
        idleFlows.remove(flow)
        change()
        val flows = if (flow.items.isEmpty()) idleFlows else activeFlows
        flows.add(flow)
    }

    /** Drops idle flows whose full credit has accrued: they would restart in the same state as new flows. */
    private fun removeIdleFlows() {
        while (idleFlows.isNotEmpty() && idleFlows.first().hasFullCredit()) {
            flowByWorkspace.remove(idleFlows.pollFirst()?.workspace)
        }
    }

    private fun WorkspaceFlow<T>.hasFullCredit(): Boolean =
        virtualStart <= virtualTime - creditTokens.toDouble() / weight

    /** The least urgent item of the flow with the largest backlog; null if no backlog is larger than [backlog]. */
    private fun itemToDisplace(backlog: Double): QueuedItem<T>? =
        activeFlows.maxByOrNull { it.backlog }?.takeIf { it.backlog > backlog }?.items?.last()

    public companion object {
        /** The cost of one long prompt, in tokens. */
        public const val DEFAULT_CREDIT_TOKENS: Long = 6_000
    }
}
