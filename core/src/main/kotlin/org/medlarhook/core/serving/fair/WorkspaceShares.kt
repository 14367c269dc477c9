package org.medlarhook.core.serving.fair

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import kotlin.math.max

/**
 * The recent work of each workspace at each service, and the max-min fair share that follows from it.
 *
 * Answers load above the capacity of a service to which a few workspaces add most, by retrying at once, by sending in
 * waves or by long prompts. The capacity is what was admitted recently. It is divided so that no workspace gets more
 * than it asks, and what small ones leave is divided equally among the others. Work at other processes is estimated
 * from their published request counts and this process's mean work per request. A client retry asks for no more work
 * than its request did before, so that retrying at once makes no demand larger.
 */
public class WorkspaceShares private constructor(
    private val services: PersistentMap<String, ServiceAccount>,
) {
    public constructor() : this(persistentMapOf())

    /** Records that [demand] was admitted or refused as [placement]; other placements are not decided by admission. */
    public fun recorded(demand: Demand, placement: Placement, nowMs: Long): WorkspaceShares {
        val chosen = placement as? Placement.Chosen
        val workspace = demand.workspace ?: return this
        val best = chosen ?: (placement as? Placement.NoCapacity)?.shortage?.best ?: return this
        val work = RequestWork.of(demand, best)
        return changed(demand.service) { account ->
            val asked = account.asked(demand.priority, isRefused = chosen == null, nowMs)
            when {
                chosen != null -> asked.changed(workspace) { it.admitted(work, nowMs) }
                demand.isClientRetry -> asked
                else -> asked.changed(workspace) { it.refused(work, nowMs) }
            }
        }
    }

    /** Drops the accounts of idle workspaces, and those beyond the greatest number of a service. */
    public fun pruned(nowMs: Long): WorkspaceShares =
        services.keys.fold(this) { shares, service -> shares.changed(service) { it.pruned(nowMs) } }

    /** Returns the division of [service]'s capacity at [nowMs], with the work of other processes as [told]. */
    public fun division(service: String, told: ToldCounts?, nowMs: Long): FairDivision {
        val account = services[service] ?: ServiceAccount()
        val others = told?.let { OthersWork(it, account, nowMs) }
        val work = HashMap<String, Double>()
        val asked = ArrayList<Double>()
        (account.workspaces.keys + told?.others?.keys.orEmpty()).forEach { workspace ->
            val own = account.workspaces[workspace] ?: WorkspaceAccount()
            val admitted = own.admittedWork.at(nowMs) + (others?.of(workspace, own) ?: 0.0)
            val refused = own.refusedWork.at(nowMs) * (1 + (others?.perOwn(workspace) ?: 0.0))
            work[workspace] = admitted
            if (admitted + refused > 0) asked += admitted + refused
        }
        return FairDivision(
            work = work,
            fairShare = maxMinShare(work.values.sum(), asked),
            toldAgeMs = told?.ageMs(nowMs),
            urgency = Urgency.of(account.priorities, nowMs),
            atMs = nowMs,
        )
    }

    /** The most that one of those that have [asked] gets of [capacity]. */
    private fun maxMinShare(capacity: Double, asked: List<Double>): Double {
        var remaining = capacity
        asked.sorted().forEachIndexed { index, amount ->
            val equalShare = remaining / (asked.size - index)
            if (amount >= equalShare) return equalShare
            remaining -= amount
        }
        return asked.maxOrNull() ?: 0.0
    }

    private inner class OthersWork(
        private val told: ToldCounts,
        service: ServiceAccount,
        private val nowMs: Long,
    ) {
        private val trust = told.trust(nowMs)
        private val serviceRequests = service.requests(nowMs)
        private val serviceShare = serviceRequests / max(services.values.sumOf { it.requests(nowMs) }, MIN_REQUESTS)
        private val meanWork =
            service.workspaces.values.sumOf { it.admittedWork.at(nowMs) } / max(serviceRequests, MIN_REQUESTS)

        fun perOwn(workspace: String): Double = trust * told.othersPerOwn(workspace)

        /**
         * The greater of two estimates: from the recent [own] work, which shows a wave before its window is told, and
         * from the told requests, which show a workspace that does not call this process.
         */
        fun of(workspace: String, own: WorkspaceAccount): Double {
            val requests = own.admittedRequests.at(nowMs)
            val ownWork = own.admittedWork.at(nowMs)
            val workPerRequest = if (requests >= MIN_REQUESTS) ownWork / requests else meanWork
            val toldWork = told.othersRequests(workspace) * serviceShare * workPerRequest
            return trust * max(ownWork * told.othersPerOwn(workspace), toldWork)
        }
    }

    private fun changed(service: String, change: (ServiceAccount) -> ServiceAccount): WorkspaceShares =
        WorkspaceShares(services.put(service, change(services[service] ?: ServiceAccount())))

    private companion object {
        const val MIN_REQUESTS = 0.05
    }
}
