package org.medlarhook.core.serving.place

import org.medlarhook.core.routing.RendezvousHash
import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.EngineCost
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.OwnAttempt
import org.medlarhook.core.serving.load.UpstreamLoad

/** Predicts when the first event of a request, or its answer, would be there at each upstream that could take it. */
public class FirstEventPredictor(
    private val distances: Distances,
) {
    /** A way of serving a request; the lowest score is the best. */
    public data class Option(
        val chosen: Placement.Chosen,
        val scoreMs: Double,
        val hasFreePlace: Boolean,
    )

    /** All ways of serving [demand]: alone at each of [writers], or with the prompt read at each of [readers]. */
    public fun options(
        demand: Demand,
        writers: List<Upstream>,
        readers: List<Upstream>,
        loads: Map<Incarnation, UpstreamLoad>,
        nowMs: Long,
    ): List<Option> {
        val generation = demand.generation ?: return writers.map { plain(it, loads.loadOf(it), nowMs) }
        val streaming = StreamingEngines.of(writers)
        val writing = writers.map { Writer(it, loads.loadOf(it), generation, nowMs) }
        val memoryTokens = demand.engine?.cacheTokens ?: 0
        val alone = writing.map { alone(generation, it, it.upstream.id in streaming, memoryTokens, nowMs) }
        if (readers.isEmpty() || generation.promptTokens < MIN_SPLIT_TOKENS) return alone
        val reading = readers.map { Reader(it, loads.loadOf(it), generation, memoryTokens, nowMs) }
        return alone + reading.flatMap { reader -> writing.map { split(generation, demand.engine, reader, it) } }
    }

    private fun plain(upstream: Upstream, load: UpstreamLoad, nowMs: Long): Option {
        val requests = load.requestsAt(nowMs)
        val slots = upstream.slots.coerceAtLeast(1)
        val waves = 1 + (requests + 1 - slots).coerceAtLeast(0.0) / slots
        val roundTripMs = distances.roundTripMs(upstream.dataCentre)
        val ms = PLAIN_WORK_MS * waves * load.speed.ratio + roundTripMs
        val chosen = Placement.Chosen(upstream, null, 0, 0.0, PLAIN_WORK_MS, 0.0, ms)
        return Option(chosen, ms + requests / slots * BUSY_PENALTY_MS, requests < slots)
    }

    private fun alone(
        generation: GenerationWork,
        writer: Writer,
        isStreaming: Boolean,
        memoryTokens: Long,
        nowMs: Long,
    ): Option {
        val held = cachedTokens(generation, writer.load, memoryTokens)
        val prefillMs = EngineCost.prefillMs(generation.promptTokens - held, held, writer.upstream.stage)
        val readMs = (writer.load.backlogMs(nowMs) + prefillMs) * INTERLEAVED * writer.load.speed.ratio
        val ms = readMs + writer.firstEventMs + distances.roundTripMs(writer.upstream.dataCentre)
        val chosen = Placement.Chosen(writer.upstream, null, held, prefillMs, writer.decodeMs, 0.0, ms)
        val penaltyMs =
            when {
                writer.decodeMs >= OwnAttempt.LONG_OUTPUT_MS -> if (isStreaming) 0.0 else SCATTER_MS
                isStreaming || writer.load.writesLongOutput() -> disturbanceMs(readMs, prefillMs)
                else -> 0.0
            }
        return Option(chosen, ms + penaltyMs + homePenalty(generation, writer.upstream, held), writer.hasFreePlace)
    }

    /** What reading a prompt costs the streams of an engine: little, until their pauses grow too long. */
    private fun disturbanceMs(readMs: Double, prefillMs: Double): Double =
        if (readMs <= STREAM_SAFE_MS) prefillMs * DISTURBANCE else STREAM_LATE_MS

    private fun split(
        generation: GenerationWork,
        engine: EngineSpec?,
        reader: Reader,
        writer: Writer,
    ): Option {
        val copyMs = copyMs(generation, engine, reader.upstream, writer.upstream)
        val ms = reader.readyMs + copyMs + writer.firstEventMs + distances.roundTripMs(writer.upstream.dataCentre)
        val chosen =
            Placement.Chosen(
                upstream = writer.upstream,
                prefill = reader.upstream,
                cachedTokens = reader.cachedTokens,
                prefillMs = reader.prefillMs,
                decodeMs = writer.decodeMs,
                readyMs = reader.readyMs,
                firstEventMs = ms,
            )
        return Option(
            chosen,
            ms + homePenalty(generation, reader.upstream, reader.cachedTokens),
            writer.hasFreePlace && reader.isFree,
        )
    }

    /** Keeps a session at one engine while it is not known to be held anywhere, alike at all processes. */
    private fun homePenalty(generation: GenerationWork, upstream: Upstream, cachedTokens: Int): Double {
        val shared = generation.sharedPart ?: return 0.0
        if (cachedTokens >= generation.promptTokens - generation.parts.last().tokens) return 0.0
        val weight = RendezvousHash.weight(shared.id.hashCode().toLong(), upstream.id)
        return (weight ushr HASH_SHIFT).toDouble() / HASH_RANGE * HOME_PENALTY_MS
    }

    private fun copyMs(generation: GenerationWork, engine: EngineSpec?, from: Upstream, to: Upstream): Double {
        if (engine == null || engine.linkBytesPerMs <= 0) return 0.0
        val ms = generation.promptTokens * engine.cacheBytesPerToken / engine.linkBytesPerMs
        return ms * distances.copyFactor(from.dataCentre, to.dataCentre) + COPY_SETUP_MS
    }

    private inner class Reader(
        val upstream: Upstream,
        load: UpstreamLoad,
        generation: GenerationWork,
        memoryTokens: Long,
        nowMs: Long,
    ) {
        val cachedTokens = cachedTokens(generation, load, memoryTokens)
        val prefillMs = EngineCost.prefillMs(generation.promptTokens - cachedTokens, cachedTokens, upstream.stage)
        private val queueMs = load.backlogMs(nowMs) * SHARED_READING
        val isFree = load.requestsAt(nowMs) < upstream.slots * FREE_SHARE
        val readyMs = (queueMs + prefillMs) * load.speed.ratio + distances.roundTripMs(upstream.dataCentre)
    }

    private class Writer(
        val upstream: Upstream,
        val load: UpstreamLoad,
        generation: GenerationWork,
        nowMs: Long,
    ) {
        val decodeMs = EngineCost.decodeMs(generation.outputTokens)
        private val requests = load.requestsAt(nowMs)
        val hasFreePlace = requests < upstream.slots * FREE_SHARE
        private val slotMs = (requests + 1 - upstream.slots).coerceAtLeast(0.0) * SLOT_WAIT_MS
        val firstEventMs = slotMs + FIRST_TOKEN_MS
    }

    /** Prompt tokens that need not be read; the last one always is. */
    private fun cachedTokens(generation: GenerationWork, load: UpstreamLoad, memoryTokens: Long): Int =
        load.cache.cachedTokens(generation.parts, memoryTokens).coerceAtMost(generation.promptTokens - 1)

    private fun Map<Incarnation, UpstreamLoad>.loadOf(upstream: Upstream): UpstreamLoad =
        this[upstream.incarnation] ?: UpstreamLoad(upstream.slots)

    private companion object {
        /** A mean call of a plain service, before the speed that the upstream has shown. */
        const val PLAIN_WORK_MS = 60.0

        /** Spreads calls over upstreams before their slots are full. */
        const val BUSY_PENALTY_MS = 30.0

        /** A slot of a full batch becomes free about this often. */
        const val SLOT_WAIT_MS = 20.0

        /** Prompts shorter than this are read where they are answered: the second call costs more than it saves. */
        const val MIN_SPLIT_TOKENS = 1_500

        /** Reading between the tokens of other requests takes this much longer. */
        const val INTERLEAVED = 1.5

        /** What a millisecond of reading costs the streams that run beside it. */
        const val DISTURBANCE = 0.5

        /** Unread work of an engine that stretches the pauses of its streams, but not past what callers accept. */
        const val STREAM_SAFE_MS = 60.0

        /** A stream that comes late is worth this much of another request's wait. */
        const val STREAM_LATE_MS = 120.0

        /** Long outputs stay together, so that the other engines can read prompts. */
        const val SCATTER_MS = 60.0

        /** A session that is held nowhere goes to its home unless another is faster by as much. */
        const val HOME_PENALTY_MS = 25.0
        const val HASH_SHIFT = 40
        const val HASH_RANGE = 16_777_216.0
        const val COPY_SETUP_MS = 0.4

        /** Below this share of its slots an engine takes a request whatever is predicted. */
        const val FREE_SHARE = 0.5

        /** Prompts that are read at once delay each other: those that come later delay one that is being read. */
        const val SHARED_READING = 1.6

        /** One step of the engine, after the prompt. */
        const val FIRST_TOKEN_MS = 2.0
    }
}
