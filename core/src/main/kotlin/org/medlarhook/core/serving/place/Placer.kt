package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.PredictionError
import org.medlarhook.core.serving.load.UpstreamLoad

/** Chooses the upstream of a request. */
public interface Placer {
    /**
     * Returns the placement of [demand] at [nowMs] among [candidates], whose loads are in [loads].
     *
     * What is predicted is taken [error] times as long. Upstreams in [tried] have had the request before and are left
     * out.
     */
    public fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        error: PredictionError,
        nowMs: Long,
    ): Placement
}
