package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.PredictionError
import org.medlarhook.core.serving.load.UpstreamLoad

/**
 * Places by the predicted time to the first event, and turns away what would come too late.
 *
 * Answers the load pattern of long shared prompts beside long outputs: prompts are read apart from the engines that
 * write, where a session's part has been read before, and short prompts are read where they are answered.
 *
 * A newcomer is taken on if its first event is predicted within the objective, or if it would find a free place. One
 * that was refused before and came back is taken on as long as it can be answered at all, so that nobody is turned
 * away again and again while newcomers are served.
 */
public class AffinityPlacer(
    private val predictor: FirstEventPredictor,
    private val lateness: FirstEventAdmission = FirstEventAdmission(),
) : Placer {
    override fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        error: PredictionError,
        nowMs: Long,
    ): Placement {
        val open = candidates.filter { it.id !in tried }
        val sound = open.filterNot { loads[it.incarnation]?.failures?.isAvoided(nowMs) == true }
        val writers = sound.filter { it.stage != EngineStage.PREFILL }
            .ifEmpty { open.filter { it.stage != EngineStage.PREFILL } }
        if (writers.isEmpty()) return Placement.NoUpstream
        val readers = sound.filter { it.stage == EngineStage.PREFILL }
        val best = predictor.options(demand, writers, readers, loads, nowMs).minBy { it.scoreMs }
        val expectedMs = best.chosen.firstEventMs * maxOf(1.0, error.ratio)
        val admits = lateness.admits(demand, expectedMs, best.hasFreePlace, nowMs)
        return if (admits) best.chosen else Placement.NoCapacity(lateness.admissibleInMs(demand, expectedMs, nowMs))
    }
}
