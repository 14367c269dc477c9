package org.medlarhook.core.serving.load

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The prompt parts that an engine's prefix cache is estimated to hold, from the requests of this process.
 *
 * Engines evict the least recently used parts. A part counts as evicted once the tokens that the engine has prefilled
 * since the part's last use would fill its cache. These are estimated as the tokens of this process, times
 * [SENDING_PROCESSES] to include those of other processes.
 *
 * @property tokensAtLastUse by part, the value of [prefilledTokens] at its last use.
 * @property prefilledTokens prompt tokens of this process that the engine has prefilled so far.
 */
public data class PrefixCacheEstimate(
    private val tokensAtLastUse: PersistentMap<String, Long> = persistentMapOf(),
    private val prefilledTokens: Long = 0,
) {
    /** Tokens of the cached prefix of a prompt with [parts], at an engine with a cache of [capacityTokens]. */
    public fun cachedTokens(parts: List<PromptPart>, capacityTokens: Long): Int =
        parts.takeWhile { part -> tokensAtLastUse[part.id]?.let { isCached(it, capacityTokens) } == true }
            .sumOf { it.tokens }

    /** Records that the engine has prefilled a prompt with [parts]. */
    public fun prefilled(parts: List<PromptPart>, capacityTokens: Long): PrefixCacheEstimate {
        val cached = cachedTokens(parts, capacityTokens)
        val newTotal = prefilledTokens + parts.sumOf { it.tokens } - cached
        val updated = parts.fold(tokensAtLastUse) { map, part -> map.put(part.id, newTotal) }
        return PrefixCacheEstimate(if (updated.size > MAX_PARTS) prune(updated, capacityTokens) else updated, newTotal)
    }

    private fun isCached(tokensAtUse: Long, capacityTokens: Long): Boolean =
        (prefilledTokens - tokensAtUse) * SENDING_PROCESSES < capacityTokens

    private fun prune(parts: PersistentMap<String, Long>, capacityTokens: Long): PersistentMap<String, Long> {
        val oldestKept = parts.values.sorted()[parts.size - MAX_PARTS / 2]
        val builder = parts.builder()
        parts.forEach { (id, atUse) -> if (atUse < oldestKept || !isCached(atUse, capacityTokens)) builder.remove(id) }
        return builder.build()
    }

    private companion object {
        /** Mean number of processes that send to an engine: those of its data centre, and spill-over. */
        const val SENDING_PROCESSES = 3

        /** Limits this process's memory; enough for the whole cache of an engine at 400 tokens per part. */
        const val MAX_PARTS = 2_000
    }
}
