package org.medlarhook.core.serving.fair

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** What one workspace has recently asked of one service at this process. */
internal data class WorkspaceAccount(
    val admittedWork: DecayingAmount = DecayingAmount(),
    val admittedRequests: DecayingAmount = DecayingAmount(),
    val refusedWork: DecayingAmount = DecayingAmount(),
) {
    fun admitted(work: Double, nowMs: Long): WorkspaceAccount =
        copy(admittedWork = admittedWork.plus(work, nowMs), admittedRequests = admittedRequests.plus(1.0, nowMs))

    fun refused(work: Double, nowMs: Long): WorkspaceAccount = copy(refusedWork = refusedWork.plus(work, nowMs))

    fun isIdle(nowMs: Long): Boolean =
        admittedRequests.at(nowMs) < IDLE_REQUESTS && refusedWork.at(nowMs) < IDLE_REQUESTS

    private companion object {
        /** What is left of one request after about nine seconds. */
        const val IDLE_REQUESTS = 0.01
    }
}

/** The requests of one priority, and those of them that were refused. */
internal data class PriorityAccount(
    val asked: DecayingAmount = DecayingAmount(),
    val refused: DecayingAmount = DecayingAmount(),
) {
    fun isAsking(nowMs: Long): Boolean = asked.at(nowMs) >= ASKING_REQUESTS

    /** The share of the requests that was refused, as if one more had been admitted. */
    fun refusedShare(nowMs: Long): Double = refused.at(nowMs) / (asked.at(nowMs) + 1)

    private companion object {
        const val ASKING_REQUESTS = 0.5
    }
}

/** The recent requests of one service at this process, by workspace and by priority. */
internal data class ServiceAccount(
    val workspaces: PersistentMap<String, WorkspaceAccount> = persistentMapOf(),
    val priorities: PersistentMap<Int, PriorityAccount> = persistentMapOf(),
) {
    fun changed(workspace: String, change: (WorkspaceAccount) -> WorkspaceAccount): ServiceAccount =
        copy(workspaces = workspaces.put(workspace, change(workspaces[workspace] ?: WorkspaceAccount())))

    fun asked(priority: Int, isRefused: Boolean, nowMs: Long): ServiceAccount {
        if (priority !in priorities && priorities.size >= MAX_PRIORITIES) return this
        val account = priorities[priority] ?: PriorityAccount()
        val refused = if (isRefused) account.refused.plus(1.0, nowMs) else account.refused
        return copy(priorities = priorities.put(priority, PriorityAccount(account.asked.plus(1.0, nowMs), refused)))
    }

    /** Drops idle workspaces, and beyond [MAX_WORKSPACES] those with the least work. */
    fun pruned(nowMs: Long): ServiceAccount {
        val busy = workspaces.filterValues { !it.isIdle(nowMs) }
        val kept =
            if (busy.size <= MAX_WORKSPACES) {
                busy.keys
            } else {
                busy.entries.sortedByDescending { it.value.admittedWork.at(nowMs) }.take(MAX_WORKSPACES)
                    .mapTo(HashSet()) { it.key }
            }
        val dropped = workspaces.keys.filter { it !in kept }
        return copy(workspaces = dropped.fold(workspaces) { map, workspace -> map.remove(workspace) })
    }

    fun requests(nowMs: Long): Double = workspaces.values.sumOf { it.admittedRequests.at(nowMs) }

    private companion object {
        const val MAX_WORKSPACES = 512
        const val MAX_PRIORITIES = 16
    }
}
