package org.medlarhook.core.fairness

import java.util.TreeSet

/**
 * A token-weighted fair queue: self-clocked fair queueing over workspaces.
 *
 * Between two workspaces that both have items waiting, the served tokens per unit of weight differ by at most one
 * item and the credit of each. Credit is what a workspace that asked for less than its share may catch up at once, so
 * that a short burst of a small workspace does not wait as if it were a standing backlog. Priorities order the items
 * within a workspace only, so that no workspace gains by raising its own. A full queue lets the workspace with the
 * largest backlog per weight give up its least urgent item. State grows with the items held and the workspaces seen.
 *
 * @param maxItems bound on the items held.
 * @param creditTokens bound on the credit of a workspace.
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
    private var virtualNow = 0.0
    private var lastNumber = 0L

    override val size: Int get() = itemByTicket.size

    override var queuedTokens: Long = 0
        private set

    override fun queuedTokens(workspace: String): Long = flowByWorkspace[workspace]?.queuedTokens ?: 0

    override fun tokensAhead(workspace: String, weight: Int, costTokens: Long): Long {
        val own = flowByWorkspace[workspace]
        val startsAt = own?.takeIf { it.items.isNotEmpty() }?.virtualStart ?: restart(own?.virtualStart, weight)
        val finishesAt = startsAt + ((own?.queuedTokens ?: 0) + costTokens).toDouble() / weight
        return activeFlows.sumOf { flow ->
            val others = ((finishesAt - flow.virtualStart) * flow.weight).toLong().coerceIn(0, flow.queuedTokens)
            if (flow === own) flow.queuedTokens else others
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
        take(queued)
        reposition(flow) { flow.charge(queued.costTokens) }
        virtualNow = maxOf(virtualNow, flow.virtualStart)
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
            WorkspaceFlow(queued.workspace, ++lastNumber, weight, restart(null, weight))
        }
        reposition(flow) {
            if (flow.items.isEmpty()) flow.virtualStart = restart(flow.virtualStart, weight)
            flow.weight = weight
            flow.add(queued)
        }
        itemByTicket[queued.ticket] = queued
        byDeadline.add(queued)
        queuedTokens += queued.costTokens
    }

    /** Where a flow of [weight] starts that had nothing waiting and would have started at [virtualStart]. */
    private fun restart(virtualStart: Double?, weight: Int): Double {
        val earliest = virtualNow - creditTokens.toDouble() / weight
        return maxOf(virtualStart ?: earliest, earliest)
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
        while (idleFlows.isNotEmpty() && idleFlows.first().isCaughtUp()) {
            flowByWorkspace.remove(idleFlows.pollFirst()?.workspace)
        }
    }

    private fun WorkspaceFlow<T>.isCaughtUp(): Boolean = virtualStart <= virtualNow - creditTokens.toDouble() / weight

    private fun victimAbove(backlog: Double): QueuedItem<T>? =
        activeFlows.maxByOrNull { it.backlog }?.takeIf { it.backlog > backlog }?.items?.last()

    public companion object {
        /** The cost of one long prompt. */
        public const val DEFAULT_CREDIT_TOKENS: Long = 6_000
    }
}
