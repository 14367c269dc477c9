package org.medlarhook.core.serving.place

import org.medlarhook.core.routing.RendezvousHash
import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.EngineCost
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad

/** Predicts the time to a request's first event, or answer, for each upstream that could serve it. */
public class FirstEventPredictor(
    private val distances: Distances,
) {
    /**
     * One way of serving a request.
     *
     * @property scoreMs the predicted time to the first event plus penalties; the lowest score is the best.
     * @property hasFreeSlots true if enough slots are free to admit the request even past its objective.
     */
    public data class Option(
        val chosen: Placement.Chosen,
        val scoreMs: Double,
        val hasFreeSlots: Boolean,
    )

    /**
     * All ways of serving [demand]: whole at each of [decodeUpstreams], or with its prompt prefilled at each of
     * [prefillUpstreams] first. The upstreams of a plain service count as [decodeUpstreams].
     */
    public fun options(
        demand: Demand,
        decodeUpstreams: List<Upstream>,
        prefillUpstreams: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        nowMs: Long,
    ): List<Option> {
        val generation = demand.generation ?: return decodeUpstreams.map { plainOption(it, loads.loadOf(it), nowMs) }
        val longOutputIds = LongOutputEngines.of(decodeUpstreams)
        val decodes = decodeUpstreams.map { DecodeEstimate(it, loads.loadOf(it), generation, nowMs) }
        val capacityTokens = demand.engine?.cacheTokens ?: 0
        val colocated =
            decodes.map { colocatedOption(generation, it, it.upstream.id in longOutputIds, capacityTokens, nowMs) }
        if (prefillUpstreams.isEmpty() || generation.promptTokens < MIN_DISAGGREGATED_PROMPT_TOKENS) return colocated
        val prefills = prefillUpstreams.map { PrefillEstimate(it, loads.loadOf(it), generation, capacityTokens, nowMs) }
        return colocated +
            prefills.flatMap { prefillAt ->
                decodes.map { disaggregatedOption(generation, demand.engine, prefillAt, it) }
            }
    }

    private fun plainOption(upstream: Upstream, load: UpstreamLoad, nowMs: Long): Option {
        val requests = load.requestsAt(nowMs)
        val slots = upstream.slots.coerceAtLeast(1)
        val waves = 1 + (requests + 1 - slots).coerceAtLeast(0.0) / slots
        val roundTripMs = distances.roundTripMs(upstream.dataCentre)
        val ms = PLAIN_CALL_MS * waves * load.speed.ratio + roundTripMs
        val chosen = Placement.Chosen(upstream, null, 0, 0.0, PLAIN_CALL_MS, 0.0, ms)
        return Option(chosen, ms + requests / slots * FULL_SLOTS_PENALTY_MS, requests < slots)
    }

    private fun colocatedOption(
        generation: GenerationWork,
        decodeAt: DecodeEstimate,
        takesLongOutputs: Boolean,
        capacityTokens: Long,
        nowMs: Long,
    ): Option {
        val cached = cachedTokens(generation, decodeAt.load, capacityTokens)
        val prefillMs = EngineCost.prefillMs(generation.promptTokens - cached, cached, decodeAt.upstream.stage)
        val promptReadyMs =
            (decodeAt.load.prefillBacklogMs(nowMs) + prefillMs) * INTERLEAVED_PREFILL_FACTOR * decodeAt.load.speed.ratio
        val ms = promptReadyMs + decodeAt.firstEventMs + distances.roundTripMs(decodeAt.upstream.dataCentre)
        val chosen = Placement.Chosen(decodeAt.upstream, null, cached, prefillMs, decodeAt.decodeMs, 0.0, ms)
        val penaltyMs =
            when {
                decodeAt.decodeMs >= OwnAttempt.LONG_OUTPUT_MS -> if (takesLongOutputs) 0.0 else SCATTER_PENALTY_MS
                takesLongOutputs || decodeAt.load.decodesLongOutput() -> interferencePenaltyMs(promptReadyMs, prefillMs)
                else -> 0.0
            }
        return Option(
            chosen,
            ms + penaltyMs + affinityPenaltyMs(generation, decodeAt.upstream, cached),
            decodeAt.hasFreeSlots,
        )
    }

    /** The penalty for stalling the streams of an engine by a prefill: low, until their pauses become too long. */
    private fun interferencePenaltyMs(promptReadyMs: Double, prefillMs: Double): Double =
        if (promptReadyMs <= ACCEPTABLE_STALL_MS) prefillMs * STALL_PENALTY_PER_PREFILL_MS else LONG_STALL_PENALTY_MS

    private fun disaggregatedOption(
        generation: GenerationWork,
        engine: EngineSpec?,
        prefillAt: PrefillEstimate,
        decodeAt: DecodeEstimate,
    ): Option {
        val copyMs = copyMs(generation, engine, prefillAt.upstream, decodeAt.upstream)
        val ms =
            prefillAt.readyMs + copyMs + decodeAt.firstEventMs + distances.roundTripMs(decodeAt.upstream.dataCentre)
        val chosen =
            Placement.Chosen(
                upstream = decodeAt.upstream,
                prefill = prefillAt.upstream,
                cachedTokens = prefillAt.cachedTokens,
                prefillMs = prefillAt.prefillMs,
                decodeMs = decodeAt.decodeMs,
                readyMs = prefillAt.readyMs,
                firstEventMs = ms,
            )
        return Option(
            chosen,
            ms + affinityPenaltyMs(generation, prefillAt.upstream, prefillAt.cachedTokens),
            decodeAt.hasFreeSlots && prefillAt.hasFreeSlots,
        )
    }

    /**
     * A penalty by which all processes prefer the same engine for a session while its prefix is not known to be cached
     * anywhere. It is 0 at an engine that has the prefix cached.
     */
    private fun affinityPenaltyMs(generation: GenerationWork, upstream: Upstream, cachedTokens: Int): Double {
        val shared = generation.sharedPart ?: return 0.0
        if (cachedTokens >= generation.promptTokens - generation.parts.last().tokens) return 0.0
        val weight = RendezvousHash.weight(shared.id.hashCode().toLong(), upstream.id)
        return (weight ushr HASH_SHIFT_BITS).toDouble() / HASH_RANGE * MAX_AFFINITY_PENALTY_MS
    }

    private fun copyMs(generation: GenerationWork, engine: EngineSpec?, from: Upstream, to: Upstream): Double {
        if (engine == null || engine.linkBytesPerMs <= 0) return 0.0
        val ms = generation.promptTokens * engine.cacheBytesPerToken / engine.linkBytesPerMs
        return ms * distances.copyFactor(from.dataCentre, to.dataCentre) + COPY_SETUP_MS
    }

    private inner class PrefillEstimate(
        val upstream: Upstream,
        load: UpstreamLoad,
        generation: GenerationWork,
        capacityTokens: Long,
        nowMs: Long,
    ) {
        val cachedTokens = cachedTokens(generation, load, capacityTokens)
        val prefillMs = EngineCost.prefillMs(generation.promptTokens - cachedTokens, cachedTokens, upstream.stage)
        private val queueMs = load.prefillBacklogMs(nowMs) * CONCURRENT_PREFILL_FACTOR
        val hasFreeSlots = load.requestsAt(nowMs) < upstream.slots * FREE_SLOTS_MAX_USED_SHARE
        val readyMs = (queueMs + prefillMs) * load.speed.ratio + distances.roundTripMs(upstream.dataCentre)
    }

    private class DecodeEstimate(
        val upstream: Upstream,
        val load: UpstreamLoad,
        generation: GenerationWork,
        nowMs: Long,
    ) {
        val decodeMs = EngineCost.decodeMs(generation.outputTokens)
        private val requests = load.requestsAt(nowMs)
        val hasFreeSlots = requests < upstream.slots * FREE_SLOTS_MAX_USED_SHARE
        private val slotMs = (requests + 1 - upstream.slots).coerceAtLeast(0.0) * SLOT_RELEASE_INTERVAL_MS
        val firstEventMs = slotMs + FIRST_DECODE_STEP_MS
    }

    /** Prompt tokens that need no prefill; the last token of a prompt is always prefilled. */
    private fun cachedTokens(generation: GenerationWork, load: UpstreamLoad, capacityTokens: Long): Int =
        load.cache.cachedTokens(generation.parts, capacityTokens).coerceAtMost(generation.promptTokens - 1)

    private fun Map<Incarnation, UpstreamLoad>.loadOf(upstream: Upstream): UpstreamLoad =
        this[upstream.incarnation] ?: UpstreamLoad(upstream.slots)

    private companion object {
        /** The time of a mean call of a plain service, before correction by the upstream's observed speed. */
        const val PLAIN_CALL_MS = 60.0

        /** Penalty at full slots, in proportion below; spreads calls over upstreams before their slots are full. */
        const val FULL_SLOTS_PENALTY_MS = 30.0

        /** A slot of a full batch becomes free about once in this time. */
        const val SLOT_RELEASE_INTERVAL_MS = 20.0

        /** Shorter prompts are prefilled where the output is decoded: a second call would cost more than it saves. */
        const val MIN_DISAGGREGATED_PROMPT_TOKENS = 1_500

        /** Prefill that is interleaved with the decode steps of other requests takes this many times as long. */
        const val INTERLEAVED_PREFILL_FACTOR = 1.5

        /** Penalty per millisecond of prefill, for the streams that the engine decodes meanwhile. */
        const val STALL_PENALTY_PER_PREFILL_MS = 0.5

        /** Up to this time of pending prefill, an engine's streams have longer pauses that callers still accept. */
        const val ACCEPTABLE_STALL_MS = 60.0

        /** Penalty for stalling streams longer than that; a request may wait this much longer elsewhere instead. */
        const val LONG_STALL_PENALTY_MS = 120.0

        /** Penalty for a long output outside [LongOutputEngines], which keeps the other engines free for prefill. */
        const val SCATTER_PENALTY_MS = 60.0

        /** A session that is cached nowhere goes to its preferred engine unless another one is faster by this much. */
        const val MAX_AFFINITY_PENALTY_MS = 25.0
        const val HASH_SHIFT_BITS = 40
        const val HASH_RANGE = 16_777_216.0
        const val COPY_SETUP_MS = 0.4

        /** An engine that uses less than this share of its slots is given a request whatever its predicted time. */
        const val FREE_SLOTS_MAX_USED_SHARE = 0.5

        /** Prompts that are prefilled at the same time delay each other: later ones delay one that is in prefill. */
        const val CONCURRENT_PREFILL_FACTOR = 1.6

        /** The first decode step after the prefill. */
        const val FIRST_DECODE_STEP_MS = 2.0
    }
}
