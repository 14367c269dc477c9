package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.WorkTokens

/**
 * A sequence in the batch of an engine.
 *
 * @property prefillLeft prompt tokens that still have to be prefilled.
 * @property decodeLeft output tokens that still have to be decoded.
 */
internal class Sequence(
    val request: SimulatedRequest,
    var prefillLeft: Long,
    var decodeLeft: Int,
)

/**
 * Simulates an engine with continuous batching: an iteration prefills one chunk of one sequence and decodes one token
 * of each sequence whose prefill is complete. The prefix cache has a limited size and evicts the least recently used
 * prefix.
 *
 * @property busy true while an iteration is in progress.
 * @property epoch incremented by [clear], so that the end of an iteration that began before is ignored.
 * @property cacheHits started requests whose prefix was cached, out of [cacheLookups].
 */
internal class FakeEngine(
    val id: String,
    val region: String,
    private val spec: FleetSpec,
) {
    val sequences: MutableList<Sequence> = mutableListOf()
    val speed: EngineSpeed =
        EngineSpeed(
            prefillTokensPerS = spec.chunkTokens * MS_PER_S / iterationMs(spec.chunkTokens, spec.slots / 2),
            decodeTokensPerS = spec.slots * MS_PER_S / iterationMs(0, spec.slots),
            slots = spec.slots,
        )
    var role: UpstreamRole = UpstreamRole.MIXED
    var up: Boolean = true
    var draining: Boolean = false
    var busy: Boolean = false
    var epoch: Int = 0
    var cacheHits: Int = 0
    var cacheLookups: Int = 0
    private val cache = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var usedTokens = 0L

    val running: Int get() = sequences.size
    val hasSlot: Boolean
        get() = running < spec.slots && sequences.count { it.prefillLeft > 0 } < MAX_CONCURRENT_PREFILLS

    val runningWork: WorkTokens
        get() = WorkTokens(sequences.sumOf { it.prefillLeft }, sequences.sumOf { it.decodeLeft.toLong() })

    /** Length of the cached prefix with the hash [prefixHash] in tokens; 0 if it is not cached. */
    fun cachedPrefixTokens(prefixHash: Long): Long = cache.getOrDefault(prefixHash, 0L)

    /** Adds [request] to the batch. A cached prefix is not prefilled again. */
    fun start(request: SimulatedRequest) {
        cacheLookups++
        val cached = cache[request.prefixHash]?.let { request.kind.prefixTokens } ?: 0
        if (cached > 0) cacheHits++
        sequences += Sequence(request, request.kind.promptTokens - cached, request.kind.outputTokens)
    }

    /** Duration of the next iteration. */
    fun nextIterationMs(): Double =
        iterationMs(nextChunk().toInt(), sequences.count { it.prefillLeft == 0L })

    /** Applies an iteration that ends at [nowMs] and returns the sequences that it completes, which leave the batch. */
    fun endIteration(nowMs: Double): List<Sequence> {
        val chunk = nextChunk()
        val prefilling = sequences.firstOrNull { it.prefillLeft > 0 }
        sequences.filter { it.prefillLeft == 0L }.forEach { it.recordToken(nowMs) }
        if (prefilling != null) {
            prefilling.prefillLeft -= chunk
            if (prefilling.prefillLeft == 0L) {
                cachePrefix(prefilling.request)
                prefilling.recordToken(nowMs)
            }
        }
        val finished = sequences.filter { it.decodeLeft == 0 && it.prefillLeft == 0L }
        sequences.removeAll(finished)
        return finished
    }

    /** Drops all sequences and the prefix cache, as a crash or a role change does. Returns the dropped requests. */
    fun clear(): List<SimulatedRequest> {
        val lost = sequences.map { it.request }
        sequences.clear()
        cache.clear()
        usedTokens = 0
        epoch++
        busy = false
        return lost
    }

    private fun Sequence.recordToken(nowMs: Double) {
        request.onToken(nowMs)
        decodeLeft--
    }

    private fun nextChunk(): Long =
        sequences.firstOrNull { it.prefillLeft > 0 }?.prefillLeft?.coerceAtMost(spec.chunkTokens.toLong()) ?: 0

    private fun cachePrefix(request: SimulatedRequest) {
        if (cache.put(request.prefixHash, request.kind.prefixTokens) == null) usedTokens += request.kind.prefixTokens
        while (usedTokens > spec.cacheTokens) {
            val oldest = cache.entries.first()
            usedTokens -= oldest.value
            cache.remove(oldest.key)
        }
    }

    private fun iterationMs(chunkTokens: Int, decoding: Int): Double =
        spec.baseMs + chunkTokens * MS_PER_S / spec.prefillTokensPerS + decoding * spec.perSequenceMs

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MAX_CONCURRENT_PREFILLS = 2
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
