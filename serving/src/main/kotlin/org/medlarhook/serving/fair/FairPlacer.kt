package org.medlarhook.serving.fair

import org.medlarhook.core.serving.fair.FairAdmissionMode
import org.medlarhook.core.serving.fair.FairDivision
import org.medlarhook.core.serving.fair.ToldCounts
import org.medlarhook.core.serving.fair.WorkspaceShares
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.load.UpstreamLoad
import org.medlarhook.core.serving.place.Demand
import org.medlarhook.core.serving.place.Placement
import org.medlarhook.core.serving.place.Placer

/**
 * Gives each request that [placer] places the standing of its workspace, and keeps the account from which that
 * follows. Requests without a workspace, those that were admitted before, and those of services where admission isn't
 * fair by workspace, are placed as they are. Runs on the event loop only.
 */
internal class FairPlacer(
    private val placer: Placer,
    private val mode: FairAdmissionMode,
    private val log: FairAdmissionLog,
    private val sharing: RoomSharing = RoomSharing { false },
) : Placer {
    private var shares = WorkspaceShares()
    private var divisions = emptyMap<String, FairDivision>()
    private var prunedAtMs = 0L

    /** What the other processes have told last, or null if none has. */
    var told: ToldCounts? = null

    override fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        estimates: ServiceEstimates,
        nowMs: Long,
    ): Placement {
        val workspace = demand.workspace
        if (workspace == null || tried.isNotEmpty() || !isFairAt(demand.service)) {
            return placer.place(demand, candidates, loads, tried, estimates, nowMs)
        }
        val standing = divisionOf(demand.service, nowMs).standing(workspace, demand.priority)
        val judged = demand.copy(standing = standing)
        val placement = placer.place(judged, candidates, loads, tried, estimates, nowMs)
        shares = shares.recorded(judged, placement, nowMs)
        log.placed(judged, placement, nowMs)
        return placement
    }

    private fun isFairAt(service: String): Boolean =
        when (mode) {
            FairAdmissionMode.ON -> true
            FairAdmissionMode.OFF -> false
            FairAdmissionMode.AUTO -> sharing.isShared(service)
        }

    private fun divisionOf(service: String, nowMs: Long): FairDivision {
        divisions[service]?.takeIf { !it.isEmpty && nowMs - it.atMs < DIVISION_MS }?.let { return it }
        if (nowMs - prunedAtMs >= PRUNE_EVERY_MS) {
            shares = shares.pruned(nowMs)
            prunedAtMs = nowMs
        }
        return shares.division(service, told, nowMs).also { divisions = divisions + (service to it) }
    }

    private companion object {
        /** A division is used this long, since an account that is not empty changes little in this time. */
        const val DIVISION_MS = 50L
        const val PRUNE_EVERY_MS = 1_000L
    }
}
