package org.medlarhook.core.serving.place

import org.medlarhook.core.routing.RendezvousHash
import org.medlarhook.core.serving.config.EngineSpec
import org.medlarhook.core.serving.fleet.Incarnation
import org.medlarhook.core.serving.fleet.Upstream
import org.medlarhook.core.serving.load.GenerationWork
import org.medlarhook.core.serving.load.UpstreamLoad

/**
 * Where the shared prefix of one prompt is cached, and from where an engine could fetch it.
 *
 * Designed for sessions whose prefix is long and whose requests arrive at many processes: each process sees too few
 * requests of a session to learn where its prefix is cached. All processes therefore agree on a home engine, by
 * rendezvous hashing, and prefer it, so that each prefix fills the memory of one engine only. Where the network takes
 * longer than the prefill that the home saves, they agree on an engine of each region. An engine that lacks the prefix
 * fetches it from another one, which takes a fraction of the time of a prefill.
 */
internal class PrefixSources(
    private val generation: GenerationWork,
    private val engine: EngineSpec?,
    private val decodeUpstreams: List<Upstream>,
    private val prefillUpstreams: List<Upstream>,
    private val loads: Map<Incarnation, UpstreamLoad>,
    private val distances: Distances,
) {
    private val sharedTokens =
        if (generation.parts.size < 2) 0 else generation.promptTokens - generation.parts.last().tokens
    private val ranked = rank()
    private val home = ranked.firstOrNull()
    private val rankById = ranked.withIndex().associate { (index, upstream) -> upstream.id to index + 1 }
    private val upstreams = decodeUpstreams + prefillUpstreams
    private val cachedByUpstream = upstreams.associate { it.id to knownTokens(it) }
    private val holders = upstreams.filter { cachedByUpstream.getValue(it.id) > 0 }

    /**
     * The prefix of the prompt as one engine finds it.
     *
     * @property cachedTokens prompt tokens that it is known to have cached.
     * @property unverifiedTokens further prompt tokens that it, or [source], may have cached.
     * @property source an engine from which it should fetch what it lacks, or null.
     * @property fetchMs the time of that fetch, if [source] has all of [unverifiedTokens].
     * @property rank the engine's place in the order in which all processes prefer engines for the prefix; 1 is its
     * home.
     */
    class Prefix(
        val cachedTokens: Int,
        val unverifiedTokens: Int,
        val source: Upstream?,
        val fetchMs: Double,
        val rank: Int,
    )

    /** The prefix as [upstream] finds it. */
    fun at(upstream: Upstream): Prefix {
        val cached = cachedByUpstream[upstream.id] ?: 0
        val missing = (sharedTokens - cached).coerceAtLeast(0)
        val rank = rankById[upstream.id] ?: (ranked.size + 1)
        if (missing == 0) return Prefix(cached, 0, null, 0.0, rank)
        val source = sourceFor(upstream, cached)
        val fetchMs = source?.let { copyMs(missing, it, upstream) } ?: 0.0
        return Prefix(cached, missing, source, fetchMs, rank)
    }

    /** The time to copy the cache of [tokens] from [from] to [to]. */
    fun copyMs(tokens: Int, from: Upstream, to: Upstream): Double {
        if (engine == null || engine.linkBytesPerMs <= 0) return 0.0
        val ms = tokens * engine.cacheBytesPerToken / engine.linkBytesPerMs
        return ms * distances.copyFactor(from.dataCentre, to.dataCentre) + COPY_SETUP_MS
    }

    /** The nearest engine that is known to have more of the prefix than [cached] tokens, else the session's home. */
    private fun sourceFor(upstream: Upstream, cached: Int): Upstream? {
        if (engine == null || engine.linkBytesPerMs <= 0) return null
        return holders.filter { it.id != upstream.id && cachedByUpstream.getValue(it.id) > cached }
            .minByOrNull { distances.copyFactor(it.dataCentre, upstream.dataCentre) }
            ?: home?.takeIf { it.id != upstream.id }
    }

    /** Prompt tokens that need no prefill; the last token of a prompt is always prefilled. */
    private fun knownTokens(upstream: Upstream): Int =
        loads[upstream.incarnation]?.cache?.cachedTokens(generation.parts, engine?.cacheTokens ?: 0)
            ?.coerceAtMost(generation.promptTokens - 1) ?: 0

    private fun rank(): List<Upstream> {
        val session = generation.sharedPart?.takeIf { sharedTokens > 0 } ?: return emptyList()
        val members = prefillUpstreams.ifEmpty { decodeUpstreams }
        return RendezvousHash.top(session.id.hashCode().toLong(), members, members.size) { it.id }
    }

    private companion object {
        /** The call by which an engine asks another one for a copy. */
        const val COPY_SETUP_MS = 0.4
    }
}
