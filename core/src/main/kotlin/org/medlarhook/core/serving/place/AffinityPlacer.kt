package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.load.UpstreamLoad

/**
 * Places a request by the predicted time to its first event, and refuses it if that would be too late.
 *
 * Designed for long shared prompts beside long outputs: long prompts are prefilled at engines of the prefill stage,
 * preferably at one that has the session's prefix cached, and short prompts at the engine that decodes the output.
 *
 * A new request is admitted if its first event is predicted within the objective, or if its upstream has a free place.
 * A client retry is also admitted if its first event is predicted somewhat later than the objective, by the share in
 * [FirstEventAdmission], so that no caller is refused repeatedly while new requests are served. A request whose
 * workspace has a standing is refused only if no upstream has a free place.
 */
public class AffinityPlacer(
    private val predictor: FirstEventPredictor,
    private val admission: FirstEventAdmission = FirstEventAdmission(),
) : Placer {
    override fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        estimates: ServiceEstimates,
        nowMs: Long,
    ): Placement {
        val untried = candidates.filter { it.id !in tried }
        val healthy = untried.filterNot { loads[it.incarnation]?.failures?.isAvoided(nowMs) == true }
        val decodeUpstreams = healthy.filter { it.stage != EngineStage.PREFILL }
            .ifEmpty { untried.filter { it.stage != EngineStage.PREFILL } }
        if (decodeUpstreams.isEmpty()) return Placement.NoUpstream
        val prefillUpstreams = healthy.filter { it.stage == EngineStage.PREFILL }
        val options = predictor.options(demand, decodeUpstreams, prefillUpstreams, loads, estimates, nowMs)
        val best = options.minBy { it.scoreMs }
        val errorRatio = maxOf(1.0, estimates.error.ratio)
        val correctedMs = best.chosen.firstEventMs * errorRatio
        val admits = admission.admits(demand, correctedMs, best.hasFreePlace, nowMs)
        if (admits) return best.chosen
        if (demand.standing != null) {
            options
                .filter {
                    it.hasFreePlace && admission.admits(demand, it.chosen.firstEventMs * errorRatio, true, nowMs)
                }
                .minByOrNull { it.scoreMs }
                ?.let { return it.chosen }
        }
        val refused = best.chosen.copy(firstEventMs = correctedMs)
        val shortage = Shortage(refused, admission.limitMs(demand, nowMs), demand.standing)
        return Placement.NoCapacity(admission.admissibleInMs(demand, correctedMs, nowMs), shortage)
    }
}
