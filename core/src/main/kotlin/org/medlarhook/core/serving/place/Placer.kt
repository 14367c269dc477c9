package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.load.UpstreamLoad

/** Chooses the upstreams that serve a request. */
public interface Placer {
    /**
     * Returns the placement of [demand] at [nowMs] among [candidates], whose loads are in [loads].
     *
     * Times are predicted from [estimates]. Upstreams in [tried] were sent the request before and are excluded.
     */
    public fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        estimates: ServiceEstimates,
        nowMs: Long,
    ): Placement
}
