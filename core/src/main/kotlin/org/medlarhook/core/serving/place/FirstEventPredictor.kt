package org.medlarhook.core.serving.place

import org.medlarhook.core.serving.fleet.EngineStage
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.ServiceEstimates
import org.medlarhook.core.serving.load.UpstreamLoad

/**
 * Predicts the time to a request's first event, or answer, for each upstream that could serve it.
 *
 * Speeds of engines are learned. Penalties and times that were not observed yet are shares of the route's latency
 * objective, by which operators state what is fast for their engines.
 */
public class FirstEventPredictor(
    private val distances: Distances,
) {
    /**
     * One way of serving a request.
     *
     * @property scoreMs the predicted time to the first event plus penalties; the lowest score is the best.
     * @property hasFreePlace true if the upstream would begin the request almost at once, so that it is admitted even
     * past its objective.
     */
    public data class Option(
        val chosen: Placement.Chosen,
        val scoreMs: Double,
        val hasFreePlace: Boolean,
    )

    /**
     * All ways of serving [demand]: whole at each of [decodeUpstreams], or with its prompt prefilled at each of
     * [prefillStage] first. The upstreams of a plain service count as [decodeUpstreams].
     */
    public fun options(
        demand: Demand,
        decodeUpstreams: List<Upstream>,
        prefillStage: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        estimates: ServiceEstimates,
        nowMs: Long,
    ): List<Option> {
        val generation =
            demand.generation
                ?: return decodeUpstreams.map { plainOption(demand, it, loads.loadOf(it), estimates, nowMs) }
        val prefillUpstreams =
            if (generation.promptTokens < MIN_DISAGGREGATED_PROMPT_TOKENS) emptyList() else prefillStage
        val sources =
            PrefixSources(generation, demand.engine, decodeUpstreams, prefillUpstreams, loads, distances)
        val context = Context(demand, generation, estimates, sources, LongOutputEngines.of(decodeUpstreams), nowMs)
        val decodes = decodeUpstreams.map { DecodeEstimate(it, loads.loadOf(it), context) }
        val colocated = decodes.map { colocatedOption(context, it) }
        if (prefillUpstreams.isEmpty()) return colocated
        val prefills = prefillUpstreams.map { PrefillEstimate(it, loads.loadOf(it), context) }
        return colocated +
            prefills.flatMap { prefillAt -> decodes.map { disaggregatedOption(context, prefillAt, it) } }
    }

    private fun plainOption(
        demand: Demand,
        upstream: Upstream,
        load: UpstreamLoad,
        estimates: ServiceEstimates,
        nowMs: Long,
    ): Option {
        val requests = load.requestsAt(nowMs)
        val slots = upstream.slots.coerceAtLeast(1)
        val waves = 1 + (requests + 1 - slots).coerceAtLeast(0.0) / slots
        val roundTripMs = distances.roundTripMs(upstream.dataCentre)
        val callMs = demand.route.objectiveMs * PLAIN_CALL_OBJECTIVE_SHARE
        val workTime = estimates.workTimes.relativeAt(load.workTime, nowMs)
        val ms = callMs * waves * load.speed.ratio * workTime + roundTripMs
        val chosen = Placement.Chosen(upstream, null, 0, 0.0, callMs, 0.0, ms)
        val fullSlotsPenaltyMs = demand.route.objectiveMs * FULL_SLOTS_OBJECTIVE_SHARE
        return Option(chosen, ms + requests / slots * fullSlotsPenaltyMs, requests < slots)
    }

    private fun colocatedOption(context: Context, decodeAt: DecodeEstimate): Option {
        val upstream = decodeAt.upstream
        val load = decodeAt.load
        val read = PrefillWork(context, upstream, load)
        val factor = INTERLEAVED_PREFILL_FACTOR * load.speed.ratio * context.workTimeOf(load)
        val promptReadyMs = (load.prefillBacklogMs(context.nowMs) + read.prefillMs) * factor
        val ms = promptReadyMs + decodeAt.firstEventMs + read.roundTripMs
        val takesLongOutputs = upstream.id in context.longOutputIds
        val penaltyMs =
            when {
                context.isLongOutput -> if (takesLongOutputs) 0.0 else context.objectiveMs * SCATTER_OBJECTIVE_SHARE
                takesLongOutputs || load.decodesOutputOf(context.longOutputMs) ->
                    interferencePenaltyMs(context, promptReadyMs, read.prefillMs)
                else -> 0.0
            }
        val chosen =
            Placement.Chosen(
                upstream = upstream,
                prefill = null,
                cachedTokens = read.prefix.cachedTokens,
                prefillMs = read.prefillMs,
                decodeMs = context.decodeMs,
                readyMs = 0.0,
                firstEventMs = ms,
                prefix = read.expectedPrefix(factor),
            )
        return Option(chosen, ms + penaltyMs + read.placePenaltyMs, decodeAt.hasFreeSlots && read.beginsAtOnce)
    }

    /** The penalty for stalling the streams of an engine by a prefill: low, until their pauses become too long. */
    private fun interferencePenaltyMs(context: Context, promptReadyMs: Double, prefillMs: Double): Double =
        if (promptReadyMs <= context.objectiveMs * ACCEPTABLE_STALL_OBJECTIVE_SHARE) {
            prefillMs * STALL_PENALTY_PER_PREFILL_MS
        } else {
            context.objectiveMs * LONG_STALL_OBJECTIVE_SHARE
        }

    private fun disaggregatedOption(context: Context, prefillAt: PrefillEstimate, decodeAt: DecodeEstimate): Option {
        val copyMs =
            context.sources.copyMs(context.generation.promptTokens, prefillAt.upstream, decodeAt.upstream)
        val continueMs = (copyMs + decodeAt.firstEventMs) * decodeAt.load.decodeSpeed.ratio
        val ms = prefillAt.readyMs + continueMs + distances.roundTripMs(decodeAt.upstream.dataCentre)
        val chosen =
            Placement.Chosen(
                upstream = decodeAt.upstream,
                prefill = prefillAt.upstream,
                cachedTokens = prefillAt.read.prefix.cachedTokens,
                prefillMs = prefillAt.read.prefillMs,
                decodeMs = context.decodeMs,
                readyMs = prefillAt.readyMs,
                firstEventMs = ms,
                prefix = prefillAt.read.expectedPrefix(prefillAt.speedRatio),
            )
        return Option(
            chosen,
            ms + prefillAt.read.placePenaltyMs,
            decodeAt.hasFreeSlots && prefillAt.hasFreeSlots && prefillAt.read.beginsAtOnce,
        )
    }

    /** What the options of one request have in common. */
    private class Context(
        demand: Demand,
        val generation: GenerationWork,
        val estimates: ServiceEstimates,
        val sources: PrefixSources,
        val longOutputIds: Set<String>,
        val nowMs: Long,
    ) {
        val objectiveMs = demand.route.objectiveMs.toDouble()
        val longOutputMs = objectiveMs * LONG_OUTPUT_OBJECTIVES
        val decodeStepMs = estimates.rates.decodeStepMs ?: (objectiveMs * UNKNOWN_DECODE_STEP_OBJECTIVE_SHARE)
        val decodeMs = generation.outputTokens * decodeStepMs

        /** Decode steps until the first event, which contains several tokens unless the output ends before. */
        val firstEventSteps = minOf(generation.outputTokens, demand.engine?.tokensPerEvent ?: 1)
        val isLongOutput = decodeMs >= longOutputMs
        private val unknownMsPerToken =
            objectiveMs * UNKNOWN_PREFILL_OBJECTIVE_SHARE / generation.promptTokens.coerceAtLeast(1)

        /** How long work is expected to take at the upstream with [load], divided by the mean. */
        fun workTimeOf(load: UpstreamLoad): Double = estimates.workTimes.relativeAt(load.workTime, nowMs)

        fun prefillMs(tokens: Int, stage: EngineStage?): Double =
            tokens * (estimates.rates.prefillMsPerToken(stage) ?: unknownMsPerToken)
    }

    /** The prefill of a prompt at [upstream], less what its prefix cache and a fetch from another engine save. */
    private inner class PrefillWork(
        context: Context,
        upstream: Upstream,
        load: UpstreamLoad,
    ) {
        val roundTripMs = distances.roundTripMs(upstream.dataCentre)
        val prefix = context.sources.at(upstream)
        private val unverifiedMs = context.prefillMs(prefix.unverifiedTokens, upstream.stage)
        private val source =
            prefix.source?.takeIf { unverifiedMs - prefix.fetchMs > context.objectiveMs * MIN_FETCH_OBJECTIVE_SHARE }
        private val ownTokens =
            context.generation.promptTokens - prefix.cachedTokens - prefix.unverifiedTokens
        private val savedMs =
            when {
                source != null -> unverifiedMs - prefix.fetchMs
                prefix.rank == 1 -> unverifiedMs
                else -> 0.0
            }
        private val hitShare = context.estimates.prefixHits.share

        /** The expected time of the prefill. */
        val prefillMs = context.prefillMs(ownTokens, upstream.stage) + unverifiedMs - hitShare * savedMs

        /**
         * Penalty for prefilling a prefix outside its home, which takes the engine's time from the requests behind, and
         * for using the network between data centres.
         */
        val placePenaltyMs =
            roundTripMs * NETWORK_PENALTY_SHARE + unverifiedMs * AFFINITY_SHARE * (1 - 1.0 / prefix.rank)

        /** True if the queue of prefills takes no longer than this one itself. */
        val beginsAtOnce = load.prefillBacklogMs(context.nowMs) <= prefillMs

        /** [factor] is that by which the engine's load and speed stretch a prefill. */
        fun expectedPrefix(factor: Double) =
            Placement.ExpectedPrefix(source, ownTokens, savedMs * factor, hitShare, roundTripMs)
    }

    private inner class PrefillEstimate(
        val upstream: Upstream,
        load: UpstreamLoad,
        context: Context,
    ) {
        val read = PrefillWork(context, upstream, load)
        val speedRatio = load.speed.ratio * context.workTimeOf(load)
        private val queueMs = load.prefillBacklogMs(context.nowMs) * CONCURRENT_PREFILL_FACTOR
        val hasFreeSlots = load.requestsAt(context.nowMs) < upstream.slots * FREE_SLOTS_MAX_USED_SHARE
        val readyMs = (queueMs + read.prefillMs) * speedRatio + read.roundTripMs
    }

    private class DecodeEstimate(
        val upstream: Upstream,
        val load: UpstreamLoad,
        context: Context,
    ) {
        private val requests = load.requestsAt(context.nowMs)
        val hasFreeSlots = requests < upstream.slots * FREE_SLOTS_MAX_USED_SHARE
        private val slotMs =
            (requests + 1 - upstream.slots).coerceAtLeast(0.0) * context.objectiveMs * SLOT_RELEASE_OBJECTIVE_SHARE
        val firstEventMs = (slotMs + context.firstEventSteps * context.decodeStepMs) * context.workTimeOf(load)
    }

    private fun Map<Incarnation, UpstreamLoad>.loadOf(upstream: Upstream): UpstreamLoad =
        this[upstream.incarnation] ?: UpstreamLoad(upstream.slots)

    private companion object {
        /** The time of a mean call of a plain service, before correction by the upstream's observed speed. */
        const val PLAIN_CALL_OBJECTIVE_SHARE = 0.25

        /** Penalty at full slots, in proportion below; spreads calls over upstreams before their slots are full. */
        const val FULL_SLOTS_OBJECTIVE_SHARE = 0.1

        /** The time of a prefill of which no speed was observed yet. */
        const val UNKNOWN_PREFILL_OBJECTIVE_SHARE = 0.1

        /** A slot of a full batch becomes free about once in this time. */
        const val SLOT_RELEASE_OBJECTIVE_SHARE = 0.1

        /** Shorter prompts are prefilled where the output is decoded: a second call would cost more than it saves. */
        const val MIN_DISAGGREGATED_PROMPT_TOKENS = 1_500

        /** Prefill that is interleaved with the decode steps of other requests takes this many times as long. */
        const val INTERLEAVED_PREFILL_FACTOR = 1.5

        /** Penalty per millisecond of prefill, for the streams that the engine decodes meanwhile. */
        const val STALL_PENALTY_PER_PREFILL_MS = 0.5

        /** Up to this time of pending prefill, an engine's streams have longer pauses that callers still accept. */
        const val ACCEPTABLE_STALL_OBJECTIVE_SHARE = 0.3

        /** Penalty for stalling streams longer than that; a request may wait this much longer elsewhere instead. */
        const val LONG_STALL_OBJECTIVE_SHARE = 0.6

        /** Penalty for a long output outside [LongOutputEngines], which keeps the other engines free for prefill. */
        const val SCATTER_OBJECTIVE_SHARE = 0.3

        /** An output that takes this many objectives or longer is a stream whose callers notice pauses. */
        const val LONG_OUTPUT_OBJECTIVES = 2.0

        /**
         * Greatest penalty for prefilling a shared prefix outside its home, as a share of the time of that prefill. It
         * grows with the engine's rank, so that the few engines that follow the home are preferred when it is full.
         */
        const val AFFINITY_SHARE = 6.0

        /** Penalty for a round trip, as a share of its time. */
        const val NETWORK_PENALTY_SHARE = 2.0

        /** A fetch waits for other transfers of its engines, so that it is tried only to save at least this much. */
        const val MIN_FETCH_OBJECTIVE_SHARE = 0.1

        /** An engine that uses more than this share of its slots has no free place. */
        const val FREE_SLOTS_MAX_USED_SHARE = 0.5

        /** Prompts that are prefilled at the same time delay each other: later ones delay one that is in prefill. */
        const val CONCURRENT_PREFILL_FACTOR = 1.6

        /** The time of a decode step while none was observed. */
        const val UNKNOWN_DECODE_STEP_OBJECTIVE_SHARE = 0.005
    }
}
