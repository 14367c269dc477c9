package org.medlarhook.core.serving.place

import org.medlarhook.core.routing.RendezvousHash
import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.EngineCost
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.UpstreamLoad

/**
 * Places by the predicted time to the first token, with sessions kept where their prompt has been read.
 *
 * Answers the load pattern of long shared prompts: reading a prompt costs far more than its short output, and an
 * engine that holds the session's part reads a third of it. All processes rank the engines alike for a session, so
 * they agree on its engine without a call; a session leaves it only when another would be faster by more than
 * [MOVE_GAIN_MS].
 */
public class AffinityPlacer(
    private val distances: Distances,
) : Placer {
    override fun place(
        demand: Demand,
        candidates: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        tried: Set<String>,
        nowMs: Long,
    ): Placement {
        val open = candidates.filter { it.id !in tried && it.stage != EngineStage.PREFILL }
        if (open.isEmpty()) return Placement.NoUpstream
        val sound = open.filterNot { loads[it.incarnation]?.failures?.isAvoided(nowMs) == true }.ifEmpty { open }
        val generation = demand.generation
        val best =
            if (generation == null) {
                sound.map { plain(it, loads.loadOf(it), nowMs) }.minBy { it.firstTokenMs }
            } else {
                ranked(generation, sound, loads, nowMs)
            }
        val leftMs = demand.finalAtMs - nowMs
        return if (best.firstTokenMs > leftMs) Placement.NoRoom(best.firstTokenMs - leftMs) else best
    }

    private fun ranked(
        generation: GenerationWork,
        sound: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        nowMs: Long,
    ): Placement.Chosen {
        val options = sound.map { engine(generation, it, loads.loadOf(it), nowMs) }
        val session = generation.sessionPart ?: return options.minBy { it.firstTokenMs }
        val key = session.id.hashCode().toLong()
        val home = options.maxBy { RendezvousHash.weight(key, it.upstream.id) }
        val fastest = options.minBy { it.firstTokenMs }
        return if (home.firstTokenMs <= fastest.firstTokenMs + MOVE_GAIN_MS) home else fastest
    }

    private fun plain(upstream: Upstream, load: UpstreamLoad, nowMs: Long): Placement.Chosen {
        val requests = load.requestsAt(nowMs)
        val slots = upstream.slots.coerceAtLeast(1)
        val waves = 1 + (requests + 1 - slots).coerceAtLeast(0.0) / slots
        val busy = requests / slots
        val ms = (PLAIN_WORK_MS * waves + busy * BUSY_PENALTY_MS) * load.speed.ratio
        return Placement.Chosen(upstream, 0, 0.0, PLAIN_WORK_MS, ms + distances.roundTripMs(upstream.dataCentre))
    }

    private fun engine(
        generation: GenerationWork,
        upstream: Upstream,
        load: UpstreamLoad,
        nowMs: Long,
    ): Placement.Chosen {
        val held = load.cache.heldTokens(generation.parts, nowMs).coerceAtMost(generation.promptTokens - 1)
        val prefillMs = EngineCost.prefillMs(generation.promptTokens - held, held, upstream.stage)
        val decodeMs = EngineCost.decodeMs(generation.outputTokens)
        val queueMs = load.ownPrefillMs() + othersPrefillMs(load, nowMs)
        val slotMs = slotWaitMs(upstream, load, nowMs)
        val firstMs = (queueMs + slotMs + prefillMs) * load.speed.ratio + distances.roundTripMs(upstream.dataCentre)
        return Placement.Chosen(upstream, held, prefillMs, decodeMs, firstMs)
    }

    private fun othersPrefillMs(load: UpstreamLoad, nowMs: Long): Double =
        load.othersAt(nowMs) * OTHERS_PREFILL_MS

    /** The wait for a slot when all are taken, from what runs there. */
    private fun slotWaitMs(upstream: Upstream, load: UpstreamLoad, nowMs: Long): Double {
        val over = load.requestsAt(nowMs) + 1 - upstream.slots
        return if (over <= 0) 0.0 else over * SLOT_WAIT_MS
    }

    private fun Map<Incarnation, UpstreamLoad>.loadOf(upstream: Upstream): UpstreamLoad =
        this[upstream.incarnation] ?: UpstreamLoad(upstream.slots)

    private companion object {
        /** A prompt that moves is read again; a third of a mean prompt's time. */
        const val MOVE_GAIN_MS = 30.0

        /** A mean call of a plain service, before the speed that the upstream has shown. */
        const val PLAIN_WORK_MS = 60.0

        /** Spreads calls over upstreams before their slots are full. */
        const val BUSY_PENALTY_MS = 30.0

        /** A mean prompt with its session's part held. */
        const val OTHERS_PREFILL_MS = 6.0

        /** A slot of a full batch becomes free about this often. */
        const val SLOT_WAIT_MS = 15.0
    }
}
