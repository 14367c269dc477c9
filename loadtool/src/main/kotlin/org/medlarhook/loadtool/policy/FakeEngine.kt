package org.medlarhook.loadtool.policy

import org.medlarhook.core.role.UpstreamRole
import org.medlarhook.core.routing.EngineSpeed
import org.medlarhook.core.routing.WorkTokens

/** A sequence in an engine's batch. */
internal class Sequence(
    val job: Job,
    var prefillLeft: Long,
    var decodeLeft: Int,
)

/**
 * An engine that batches continuously: an iteration prefills one chunk of one sequence and decodes one token of each
 * sequence past its prefill. Prefixes stay in a cache of limited size, the least recently used leaving first.
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
    var hits: Int = 0
    var lookups: Int = 0
    private val cache = LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var cachedTokens = 0L

    val running: Int get() = sequences.size
    val hasSlot: Boolean get() = running < spec.slots && sequences.count { it.prefillLeft > 0 } < MAX_PREFILLS

    val runningWork: WorkTokens
        get() = WorkTokens(sequences.sumOf { it.prefillLeft }, sequences.sumOf { it.decodeLeft.toLong() })

    /** The tokens that are cached of the prompts that start with [prefixHash]. */
    fun cachedOf(prefixHash: Long): Long = cache.getOrDefault(prefixHash, 0L)

    fun start(job: Job) {
        lookups++
        val cached = cache[job.prefixHash]?.let { job.kind.prefixTokens } ?: 0
        if (cached > 0) hits++
        sequences += Sequence(job, job.kind.promptTokens - cached, job.kind.outputTokens)
    }

    /** The length of the next iteration. */
    fun nextIterationMs(): Double =
        iterationMs(nextChunk().toInt(), sequences.count { it.prefillLeft == 0L })

    /** Applies an iteration that ends at [nowMs] and returns the sequences that are complete. */
    fun endIteration(nowMs: Double): List<Sequence> {
        val chunk = nextChunk()
        val prefilling = sequences.firstOrNull { it.prefillLeft > 0 }
        sequences.filter { it.prefillLeft == 0L }.forEach { it.emit(nowMs) }
        if (prefilling != null) {
            prefilling.prefillLeft -= chunk
            if (prefilling.prefillLeft == 0L) {
                remember(prefilling.job)
                prefilling.emit(nowMs)
            }
        }
        val done = sequences.filter { it.decodeLeft == 0 && it.prefillLeft == 0L }
        sequences.removeAll(done)
        return done
    }

    /** Drops all work and the cache, as a crash or a role change does. */
    fun clear(): List<Job> {
        val lost = sequences.map { it.job }
        sequences.clear()
        cache.clear()
        cachedTokens = 0
        epoch++
        busy = false
        return lost
    }

    private fun Sequence.emit(nowMs: Double) {
        job.onToken(nowMs)
        decodeLeft--
    }

    private fun nextChunk(): Long =
        sequences.firstOrNull { it.prefillLeft > 0 }?.prefillLeft?.coerceAtMost(spec.chunkTokens.toLong()) ?: 0

    private fun remember(job: Job) {
        if (cache.put(job.prefixHash, job.kind.prefixTokens) == null) cachedTokens += job.kind.prefixTokens
        while (cachedTokens > spec.cacheTokens) {
            val oldest = cache.entries.first()
            cachedTokens -= oldest.value
            cache.remove(oldest.key)
        }
    }

    private fun iterationMs(chunkTokens: Int, decoding: Int): Double =
        spec.baseMs + chunkTokens * MS_PER_S / spec.prefillTokensPerS + decoding * spec.perSequenceMs

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MAX_PREFILLS = 2
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
