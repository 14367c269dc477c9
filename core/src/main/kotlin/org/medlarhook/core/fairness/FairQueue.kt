package org.medlarhook.core.fairness

import java.util.TreeSet

/**
 * A token-weighted fair queue: start-time fair queueing over workspaces.
 *
 * Between two workspaces that both have items waiting, the served tokens per unit of weight differ by at most one
 * item of each. Priorities order the items within a workspace only, so that no workspace gains by raising its own.
 * A full queue lets the workspace with the largest backlog per weight give up its least urgent item.
 * State grows with the items held and the workspaces seen.
 */
public class FairQueue<T>(
    private val maxItems: Int,
) : RequestQueue<T> {
    private val itemByTicket = HashMap<Ticket, QueuedItem<T>>()
    private val flowByWorkspace = HashMap<String, WorkspaceFlow<T>>()
    private val activeFlows = TreeSet<WorkspaceFlow<T>>(WorkspaceFlow.BY_VIRTUAL_START)
    private val idleFlows = TreeSet<WorkspaceFlow<T>>(WorkspaceFlow.BY_VIRTUAL_START)
    private val byDeadline = TreeSet<QueuedItem<T>>(QueuedItem.BY_DEADLINE)
    private var virtualNow = 0.0
    private var lastNumber = 0L

    override val size: Int get() = itemByTicket.size

    override var queuedTokens: Long = 0
        private set

    override fun queuedTokens(workspace: String): Long = flowByWorkspace[workspace]?.queuedTokens ?: 0

    override fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long {
        val ownBacklog = (queuedTokens(workspace) + costTokens).toDouble() / weight
        return activeFlows.sumOf { flow ->
            val others = minOf(flow.queuedTokens, (ownBacklog * flow.weight).toLong())
            if (flow.workspace == workspace) flow.queuedTokens else others
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
        require(weight > 0) { "weight must be positive" }
        require(costTokens > 0) { "cost must be positive" }
        if (deadlineMs <= nowMs) return OfferResult.Expired
        val ownBacklog = (queuedTokens(workspace) + costTokens).toDouble() / weight
        val victim = if (size < maxItems) null else (victimAbove(ownBacklog) ?: return OfferResult.Full)
        victim?.let { take(it) }
        val queued = QueuedItem(Ticket(++lastNumber), workspace, costTokens, priority, deadlineMs, item)
        insert(queued, weight)
        return OfferResult.Accepted(queued.ticket, victim?.item)
    }

    override fun poll(nowMs: Long): T? {
        val flow = activeFlows.firstOrNull { flow -> flow.items.any { it.deadlineMs > nowMs } } ?: return null
        val queued = flow.items.first { it.deadlineMs > nowMs }
        virtualNow = maxOf(virtualNow, flow.virtualStart)
        take(queued)
        reposition(flow) { flow.charge(queued.costTokens) }
        forgetIdleFlows()
        return queued.item
    }

    override fun remove(ticket: Ticket): T? = itemByTicket[ticket]?.also { take(it) }?.item

    override fun expire(nowMs: Long): List<T> {
        val expired = byDeadline.takeWhile { it.deadlineMs <= nowMs }
        expired.forEach { take(it) }
        return expired.map { it.item }
    }

    private fun insert(queued: QueuedItem<T>, weight: Int) {
        val flow = flowByWorkspace.getOrPut(queued.workspace) {
            WorkspaceFlow(queued.workspace, ++lastNumber, weight, virtualNow)
        }
        reposition(flow) {
            if (flow.items.isEmpty()) flow.virtualStart = maxOf(flow.virtualStart, virtualNow)
            flow.weight = weight
            flow.add(queued)
        }
        itemByTicket[queued.ticket] = queued
        byDeadline.add(queued)
        queuedTokens += queued.costTokens
    }

    private fun take(queued: QueuedItem<T>) {
        val flow = flowByWorkspace.getValue(queued.workspace)
        reposition(flow) { flow.remove(queued) }
        itemByTicket.remove(queued.ticket)
        byDeadline.remove(queued)
        queuedTokens -= queued.costTokens
    }

    /** Runs [change] while [flow] is in neither ordered set, as both are sorted by what it changes. */
    private fun reposition(flow: WorkspaceFlow<T>, change: () -> Unit) {
        activeFlows.remove(flow)
        idleFlows.remove(flow)
        change()
        val flows = if (flow.items.isEmpty()) idleFlows else activeFlows
        flows.add(flow)
    }

    /** Drops idle flows that virtual time has passed; they would start afresh anyway. */
    private fun forgetIdleFlows() {
        while (idleFlows.isNotEmpty() && idleFlows.first().virtualStart <= virtualNow) {
            flowByWorkspace.remove(idleFlows.pollFirst()?.workspace)
        }
    }

    private fun victimAbove(backlog: Double): QueuedItem<T>? =
        activeFlows.maxByOrNull { it.backlog }?.takeIf { it.backlog > backlog }?.items?.last()
}
